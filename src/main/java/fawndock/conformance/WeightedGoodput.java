package fawndock.conformance;

import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes the goodput weighted by priority: the weight of the operations served within their
 * latency objective, as a share of the weight of the operations requested within quota. The quota
 * of each customer is a token bucket applied to the first try of each operation, as in a single
 * gateway that receives all requests. The response to a client's retry counts for its operation,
 * with the latency measured from the first try. Stateless.
 */
public final class WeightedGoodput {
  private static final int OK = 200;

  private WeightedGoodput() {}

  /** Returns the share for a trace, from 0 to 1; 0 when nothing was requested within quota. */
  public static double shareOfOffered(List<TraceEvent> trace, ConformanceLimits limits) {
    Map<String, Long> servedAtMicros = firstServedByOperation(trace);
    Map<String, TokenBucket> quotas = new HashMap<>();
    Set<String> countedOperations = new HashSet<>();
    double offered = 0;
    double served = 0;
    for (RequestSent request : requestsByTime(trace)) {
      String operation = TraceEvent.operationOf(request.requestId());
      Plan plan = limits.customerPlans().get(request.customer());
      RequestClass requestClass = limits.requestClasses().get(request.requestClass());
      if (plan == null
          || requestClass == null
          || !countedOperations.add(operation)
          || !isWithinQuota(quotas, plan, request)) {
        continue;
      }
      double weight = requestClass.priorityWeight() * plan.priorityWeight() * request.units();
      offered += weight;
      Long atMicros = servedAtMicros.get(operation);
      long objectiveAtMicros = request.atMicros() + requestClass.latencyObjectiveMicros();
      served += atMicros != null && atMicros <= objectiveAtMicros ? weight : 0;
    }
    return offered == 0 ? 0 : served / offered;
  }

  private static Map<String, Long> firstServedByOperation(List<TraceEvent> trace) {
    Map<String, Long> servedAtMicros = new HashMap<>();
    for (TraceEvent event : trace) {
      if (event instanceof ResponseReceived response && response.status() == OK) {
        String operation = TraceEvent.operationOf(response.requestId());
        servedAtMicros.merge(operation, response.atMicros(), Math::min);
      }
    }
    return servedAtMicros;
  }

  private static List<RequestSent> requestsByTime(List<TraceEvent> trace) {
    return trace.stream()
        .filter(RequestSent.class::isInstance)
        .map(RequestSent.class::cast)
        .sorted(Comparator.comparingLong(RequestSent::atMicros))
        .toList();
  }

  private static boolean isWithinQuota(
      Map<String, TokenBucket> quotas, Plan plan, RequestSent request) {
    if (plan.unitsPerSecond() <= 0) {
      return true;
    }
    TokenBucket quota =
        quotas.computeIfAbsent(
            request.customer(),
            customer ->
                new TokenBucket(plan.burstUnits(), plan.unitsPerSecond(), request.atMicros()));
    quota.refillUntil(request.atMicros());
    return quota.tryTake(request.units());
  }
}
