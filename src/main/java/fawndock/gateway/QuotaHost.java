package fawndock.gateway;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import fawndock.host.Alarms;
import fawndock.host.Decisions;
import fawndock.host.MicroClock;
import fawndock.settings.DaemonSettings;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the decisions about quotas alone, for work that somebody else does: an attempt is the
 * caller's own. The decisions are an instance of their own with servers that stand for the callers,
 * so that no flood of questions takes room from requests that are passed on; the counts are the
 * same, by the same names on the same counter. One context.
 */
public final class QuotaHost {
  /** How a question ended. */
  public enum Verdict {
    ALLOWED,
    REFUSED,
    UNDECIDED
  }

  /**
   * Told once, unless the question was left before: the verdict, and for a refusal how long to stay
   * away.
   */
  public interface Answer {
    void told(Verdict verdict, long retryAfterMicros);
  }

  private static final Logger LOG = LoggerFactory.getLogger(QuotaHost.class);
  private static final int CALLERS = 64;
  private static final long ROUND_MICROS = 5_000;

  /**
   * Units that a question which is taken back is settled with: none, as nearly as the decisions can
   * be told.
   */
  private static final double NOTHING = 1e-9;

  private final MicroClock clock = new MicroClock();
  private final Alarms alarms;
  private final CounterLink counter;
  private final Decisions decisions;
  private final int fleet;
  private final Map<Long, Answer> asked = new HashMap<>();
  private final Map<Long, String> allowed = new HashMap<>();
  private long nextId = 1;

  /**
   * Connects to the counter; on the context given.
   *
   * @param me its number in the fleet
   */
  public QuotaHost(
      Vertx vertx,
      Context context,
      DaemonSettings settings,
      int me,
      Function<Settings, Gatekeeper> maker) {
    alarms = new Alarms(vertx);
    fleet = settings.fleet();
    decisions =
        new Decisions(
            maker.apply(
                new Settings(
                    me,
                    fleet,
                    settings.seed() + me,
                    ROUND_MICROS,
                    "",
                    false,
                    settings.classes(),
                    settings.plans(),
                    settings.limits(),
                    settings.rules(),
                    new Gatekeeper.Counter(
                        !settings.counter().none(), settings.counter().timeoutMicros(), true))),
            clock,
            this::carryOut,
            LOG);
    counter = new CounterLink(vertx, context, settings.counter(), clock, alarms, this::tell);
    List<Server> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new Server("caller-" + i, "", 0, Availability.RUNNING, 1, 0));
    }
    tell(new Servers(Listing.COMPLETE, callers));
  }

  /**
   * Asks whether a customer may do so much now. What is allowed counts from then on, and is to be
   * ended by {@link #keep} or {@link #takeBack}.
   *
   * @param withinMicros in which the caller wants to know
   * @return the question's number
   */
  public long ask(
      String requestClass,
      String plan,
      String customer,
      double units,
      long withinMicros,
      Answer answer) {
    long id = nextId++;
    asked.put(id, answer);
    // Guards against decisions that failed to answer: the caller is told in time all the same.
    alarms.after(withinMicros, () -> end(id, Verdict.UNDECIDED, 0));
    tell(
        new Request(
            id, requestClass, plan, customer, clock.now() + withinMicros, units, fleet, 0, false));
    return id;
  }

  /** The caller does not want to know any more. */
  public void leave(long id) {
    if (asked.remove(id) != null) {
      tell(new Gone(id));
    }
    takeBack(id);
  }

  /** What was allowed is done. */
  public void keep(long id, double units) {
    settle(id, units);
  }

  /** What was allowed is not done: its units are given back. */
  public void takeBack(long id) {
    settle(id, NOTHING);
  }

  private void settle(long id, double units) {
    String caller = allowed.remove(id);
    if (caller != null) {
      tell(new Outcome(id, 0, caller, 1, Result.OK, true, units, Map.of()));
    }
  }

  private void end(long id, Verdict verdict, long retryAfter) {
    Answer answer = asked.remove(id);
    if (answer != null) {
      answer.told(verdict, retryAfter);
    }
  }

  private void tell(Event event) {
    decisions.tell(event);
  }

  private void carryOut(Action action) {
    if (action instanceof Attempt a) {
      allowed.put(a.requestId(), a.server());
      if (asked.containsKey(a.requestId())) {
        end(a.requestId(), Verdict.ALLOWED, 0);
      } else {
        takeBack(a.requestId());
      }
    } else if (action instanceof Refuse a) {
      end(a.requestId(), Verdict.REFUSED, a.retryAfterMicros());
    } else if (action instanceof Fail a) {
      end(a.requestId(), Verdict.UNDECIDED, 0);
    } else if (action instanceof Count a) {
      counter.count(a);
    } else if (action instanceof WakeAfter a) {
      alarms.after(a.micros(), () -> tell(new Wake(a.token())));
    }
  }

  /** Closes its connections. */
  public void close() {
    counter.close();
    alarms.close();
  }
}
