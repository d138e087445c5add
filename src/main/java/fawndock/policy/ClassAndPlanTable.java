package fawndock.policy;

import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the request classes and the plans by name. A request of a class that the configuration does
 * not define is never retried after an attempt that may have taken effect, and a plan that it does
 * not define has no quotas. Not thread-safe.
 */
final class ClassAndPlanTable {
  private static final long DEFAULT_DEADLINE_MICROS = 1_000_000;

  private final Map<String, RequestClassState> requestClasses = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final long maxDeadlineMicros;
  private final long maxLatencyObjectiveMicros;

  ClassAndPlanTable(PolicyConfig config) {
    List<RequestClass> classes = config.requestClasses();
    classes.forEach(
        requestClass ->
            requestClasses.put(requestClass.name(), new RequestClassState(requestClass)));
    config.plans().forEach(plan -> plans.put(plan.name(), plan));
    maxDeadlineMicros =
        classes.stream()
            .mapToLong(RequestClass::deadlineMicros)
            .max()
            .orElse(DEFAULT_DEADLINE_MICROS);
    maxLatencyObjectiveMicros =
        classes.stream()
            .mapToLong(RequestClass::latencyObjectiveMicros)
            .max()
            .orElse(DEFAULT_DEADLINE_MICROS);
  }

  /** Returns the longest latency objective of the configured classes, in microseconds. */
  long maxLatencyObjectiveMicros() {
    return maxLatencyObjectiveMicros;
  }

  RequestClassState requestClass(String name) {
    return requestClasses.computeIfAbsent(name, this::unknownClass);
  }

  Plan plan(String name) {
    return plans.computeIfAbsent(
        name, unknownName -> new Plan(unknownName, 0, 0, 0, 1, 0, 0, 0, 0, 0));
  }

  private RequestClassState unknownClass(String name) {
    return new RequestClassState(
        new RequestClass(
            name,
            maxDeadlineMicros,
            0,
            maxDeadlineMicros,
            1,
            0,
            Idempotency.AT_MOST_ONCE,
            DeduplicationScope.CELL,
            0,
            false));
  }
}
