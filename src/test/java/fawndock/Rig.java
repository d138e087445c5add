package fawndock;

import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Counter;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Group;
import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Rules;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Settings, events and a short hand for the tests of one gatekeeper. */
final class Rig {
  static final long SECOND = 1_000_000;
  final Logic logic;
  long now = 100 * SECOND;

  Rig(Settings settings, String... servers) {
    logic = new Logic(settings);
    List<Server> list = new ArrayList<>();
    for (String id : servers) {
      list.add(server(id, Availability.RUNNING, 0));
    }
    on(new Servers(Listing.CACHED, list));
  }

  static Plan ratePlan(double rate, double store) {
    return new Plan("plan", rate, store, 0, 1, 0, 1, 0, 0, 0);
  }

  static Plan openPlan(int open) {
    return new Plan("plan", 0, 0, open, 1, 0, 1, 0, 0, 0);
  }

  static Plan ceilingPlan(double rate, double burst) {
    return new Plan("plan", 0, 0, 0, 1, 0, 1, rate, burst, burst / 10);
  }

  static Settings settings(Plan plan, Repeat repeat, boolean counter, boolean settled) {
    return settings(plan, repeat, counter, settled, false);
  }

  static Settings settings(
      Plan plan, Repeat repeat, boolean counter, boolean settled, boolean mustAsk) {
    RequestClass type =
        new RequestClass("class", SECOND, 0, 3 * SECOND, 1, 0, repeat, Group.ALL, SECOND, false);
    return new Settings(
        0,
        2,
        7,
        2_000,
        "here",
        mustAsk,
        List.of(type),
        List.of(plan),
        new Limits(3, 1000, SECOND, false, true, false, false, true),
        new Rules(16_000, SECOND, 0.2, 10 * SECOND, 2, 2 * SECOND, 10 * SECOND),
        new Counter(counter, 50_000, settled));
  }

  static Server server(String id, Availability availability, long started) {
    return new Server(id, "here", 0, availability, 1, started);
  }

  List<Action> on(Event event) {
    return logic.on(now, event);
  }

  List<Action> request(long id) {
    return request(id, 1);
  }

  List<Action> request(long id, double units) {
    return on(new Request(id, "class", "plan", "customer", now + 3 * SECOND, units, 2, 0, false));
  }

  List<Action> outcome(long id, int attempt, String server, Result result, boolean over) {
    return on(new Outcome(id, attempt, server, 100_000, result, over, 0, Map.of()));
  }

  static <T extends Action> List<T> only(Class<T> type, List<Action> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  static <T extends Action> T one(Class<T> type, List<Action> actions) {
    List<T> found = only(type, actions);
    if (found.size() != 1) {
      throw new AssertionError("one " + type.getSimpleName() + " expected in " + actions);
    }
    return found.get(0);
  }
}
