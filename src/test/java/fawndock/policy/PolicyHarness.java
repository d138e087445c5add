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

/**
 * Runs the policy of one gateway instance in a test, with helpers that build configurations and
 * events and find actions.
 */
public final class PolicyHarness {
  public static final long SECOND_MICROS = 1_000_000;
  public final DefaultGatewayPolicy policy;
  public long nowMicros = 100 * SECOND_MICROS;

  public PolicyHarness(PolicyConfig config, String... endpointIds) {
    policy = new DefaultGatewayPolicy(config);
    List<Endpoint> endpoints = new ArrayList<>();
    for (String id : endpointIds) {
      endpoints.add(endpoint(id, EndpointState.RUNNING, 0));
    }
    onEvent(new EndpointUpdate(EndpointUpdateKind.CACHED, endpoints));
  }

  public static Plan ratePlan(double unitsPerSecond, double burstUnits) {
    return new Plan("plan", unitsPerSecond, burstUnits, 0, 1, 0, 1, 0, 0, 0);
  }

  public static Plan concurrencyPlan(int maxConcurrent) {
    return new Plan("plan", 0, 0, maxConcurrent, 1, 0, 1, 0, 0, 0);
  }

  public static Plan ceilingPlan(double unitsPerSecond, double burstUnits) {
    return new Plan("plan", 0, 0, 0, 1, 0, 1, unitsPerSecond, burstUnits, burstUnits / 10);
  }

  public static PolicyConfig config(
      Plan plan, Idempotency idempotency, boolean hasCounter, boolean settlesUnits) {
    return config(plan, idempotency, hasCounter, settlesUnits, false);
  }

  public static PolicyConfig config(
      Plan plan,
      Idempotency idempotency,
      boolean hasCounter,
      boolean settlesUnits,
      boolean mustWatchEndpoints) {
    RequestClass requestClass =
        new RequestClass(
            "class",
            SECOND_MICROS,
            0,
            3 * SECOND_MICROS,
            1,
            0,
            idempotency,
            DeduplicationScope.ALL,
            SECOND_MICROS,
            false);
    return new PolicyConfig(
        0,
        2,
        7,
        2_000,
        "here",
        mustWatchEndpoints,
        List.of(requestClass),
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
        new CounterConfig(hasCounter, 50_000, settlesUnits));
  }

  public static Endpoint endpoint(String id, EndpointState state, long startedAtMicros) {
    return new Endpoint(id, "here", 0, state, 1, startedAtMicros);
  }

  public List<PolicyAction> onEvent(PolicyEvent event) {
    return policy.onEvent(nowMicros, event);
  }

  public List<PolicyAction> request(long id) {
    return request(id, 1);
  }

  public List<PolicyAction> request(long id, double units) {
    return onEvent(
        new RequestArrived(
            id, "class", "plan", "customer", nowMicros + 3 * SECOND_MICROS, units, 2, 0, false));
  }

  public List<PolicyAction> completeAttempt(
      long id, int attemptIndex, String endpointId, CallResult result, boolean isFinal) {
    return onEvent(
        new AttemptCompleted(
            id, attemptIndex, endpointId, 100_000, result, isFinal, 0, LoadReport.NONE));
  }

  public static <T extends PolicyAction> List<T> allOf(Class<T> type, List<PolicyAction> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  public static <T extends PolicyAction> T single(Class<T> type, List<PolicyAction> actions) {
    List<T> found = allOf(type, actions);
    if (found.size() != 1) {
      throw new AssertionError("expected exactly one " + type.getSimpleName() + " in " + actions);
    }
    return found.get(0);
  }
}
