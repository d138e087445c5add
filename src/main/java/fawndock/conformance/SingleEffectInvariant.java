package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.RequestClass;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rule 2: no effect occurs more than once. A request that is not idempotent is retried only where
 * the endpoints' deduplication covers the retry, and is not rejected once it may have been
 * executed. An attempt that an endpoint rejected was not executed. Not thread-safe.
 */
final class SingleEffectInvariant {
  private static final int TOO_MANY_REQUESTS = 429;
  private final TraceIndex trace;
  private final ConformanceLimits limits;
  private final ViolationLog violations;

  SingleEffectInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.limits = limits;
    this.violations = violations;
  }

  /** Returns whether a request was retried or rejected in a way that may repeat its effect. */
  boolean mayRepeatEffect(RequestSent request) {
    RequestClass requestClass = limits.requestClasses().get(request.requestClass());
    if (requestClass == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      return false;
    }
    List<AttemptArrived> attempts = trace.attempts(request.requestId());
    int executedIndex = 0;
    while (executedIndex < attempts.size() && attempts.get(executedIndex).isRejected()) {
      executedIndex++;
    }
    if (executedIndex == attempts.size()) {
      return false;
    }
    AttemptArrived executed = attempts.get(executedIndex);
    for (AttemptArrived retry : attempts.subList(executedIndex + 1, attempts.size())) {
      if (!isDeduplicated(requestClass, executed, retry)) {
        violations.add(describe(request) + " was sent again to " + retry.endpointId());
        return true;
      }
    }
    return isRejectedAfterExecution(request, requestClass);
  }

  private boolean isDeduplicated(
      RequestClass requestClass, AttemptArrived executed, AttemptArrived retry) {
    long windowEndMicros =
        executed.atMicros() + requestClass.deduplicationWindowMicros() + limits.toleranceMicros();
    return requestClass.idempotency() == Idempotency.DEDUPLICATED
        && retry.atMicros() <= windowEndMicros
        && (requestClass.deduplicationScope() == DeduplicationScope.ALL
            || retry.endpointId().equals(executed.endpointId()));
  }

  private boolean isRejectedAfterExecution(RequestSent request, RequestClass requestClass) {
    boolean isRejected =
        trace.responses(request.requestId()).stream()
            .anyMatch(response -> response.status() == TOO_MANY_REQUESTS);
    boolean isDeduplicatedEverywhere =
        requestClass.idempotency() == Idempotency.DEDUPLICATED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    if (!isRejected || isDeduplicatedEverywhere) {
      return false;
    }
    violations.add(describe(request) + " was rejected after it may have run");
    return true;
  }

  /** Returns the number of non-idempotent operations that took effect more than once. */
  int countRepeatedEffects() {
    int repeatedCount = 0;
    Set<String> countedOperations = new HashSet<>();
    for (RequestSent request : trace.requests()) {
      RequestClass requestClass = limits.requestClasses().get(request.requestClass());
      String operation = TraceEvent.operationOf(request.requestId());
      if (requestClass != null
          && requestClass.idempotency() != Idempotency.IDEMPOTENT
          && trace.effectCount(operation) > 1
          && countedOperations.add(operation)) {
        violations.add(
            operation
                + " ("
                + request.requestClass()
                + ") took effect "
                + trace.effectCount(operation)
                + " times");
        repeatedCount++;
      }
    }
    return repeatedCount;
  }

  private static String describe(RequestSent request) {
    return request.requestId() + " (" + request.requestClass() + ")";
  }
}
