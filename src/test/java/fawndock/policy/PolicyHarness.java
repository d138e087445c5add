package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import java.util.ArrayList;
import java.util.List;

/** Settings, events and a short hand for the tests of one gatekeeper. */
final class PolicyHarness {
  static final long SECOND_MICROS = 1_000_000;
  final DefaultGatewayPolicy policy;
  long nowMicros = 100 * SECOND_MICROS;

  PolicyHarness(PolicyConfig settings, String... servers) {
    policy = new DefaultGatewayPolicy(settings);
    List<Endpoint> list = new ArrayList<>();
    for (String id : servers) {
      list.add(endpoint(id, EndpointState.RUNNING, 0));
    }
    onEvent(new EndpointUpdate(EndpointUpdateKind.CACHED, list));
  }

  static Plan ratePlan(double rate, double store) {
    return new Plan("plan", rate, store, 0, 1, 0, 1, 0, 0, 0);
  }

  static Plan concurrencyPlan(int open) {
    return new Plan("plan", 0, 0, open, 1, 0, 1, 0, 0, 0);
  }

  static Plan ceilingPlan(double rate, double burst) {
    return new Plan("plan", 0, 0, 0, 1, 0, 1, rate, burst, burst / 10);
  }

  static PolicyConfig config(Plan plan, Idempotency repeat, boolean counter, boolean settled) {
    return config(plan, repeat, counter, settled, false);
  }

  static PolicyConfig config(
      Plan plan, Idempotency repeat, boolean counter, boolean settled, boolean mustAsk) {
    RequestClass type =
        new RequestClass(
            "class",
            SECOND_MICROS,
            0,
            3 * SECOND_MICROS,
            1,
            0,
            repeat,
            DeduplicationScope.ALL,
            SECOND_MICROS,
            false);
    return new PolicyConfig(
        0,
        2,
        7,
        2_000,
        "here",
        mustAsk,
        List.of(type),
        List.of(plan),
        new GatewayLimits(3, 1000, SECOND_MICROS, false, true, false, false, true),
        new ServiceRules(
            16_000,
            SECOND_MICROS,
            0.2,
            10 * SECOND_MICROS,
            2,
            2 * SECOND_MICROS,
            10 * SECOND_MICROS),
        new CounterConfig(counter, 50_000, settled));
  }

  static Endpoint endpoint(String id, EndpointState availability, long started) {
    return new Endpoint(id, "here", 0, availability, 1, started);
  }

  List<PolicyAction> onEvent(PolicyEvent event) {
    return policy.onEvent(nowMicros, event);
  }

  List<PolicyAction> request(long id) {
    return request(id, 1);
  }

  List<PolicyAction> request(long id, double units) {
    return onEvent(
        new RequestArrived(
            id, "class", "plan", "customer", nowMicros + 3 * SECOND_MICROS, units, 2, 0, false));
  }

  List<PolicyAction> completeAttempt(
      long id, int attempt, String server, CallResult result, boolean over) {
    return onEvent(
        new AttemptCompleted(id, attempt, server, 100_000, result, over, 0, LoadReport.NONE));
  }

  static <T extends PolicyAction> List<T> allOf(Class<T> type, List<PolicyAction> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  static <T extends PolicyAction> T single(Class<T> type, List<PolicyAction> actions) {
    List<T> found = allOf(type, actions);
    if (found.size() != 1) {
      throw new AssertionError("one " + type.getSimpleName() + " expected in " + actions);
    }
    return found.get(0);
  }
}
