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
 * How much worth was answered within its aim, as a share of the worth asked inside the quotas. Each
 * customer's store is replayed over its operations as one gateway that saw all first tries would
 * have it; a later try's answer counts for its operation, from the first try's time.
 */
public final class WeightedGoodput {
  private WeightedGoodput() {}

  /** Of a trace, from 0 to 1; 0 when nothing was asked inside the quotas. */
  public static double shareOfOffered(List<TraceEvent> trace, ConformanceLimits figures) {
    Map<String, Long> answered = new HashMap<>();
    for (TraceEvent seen : trace) {
      if (seen instanceof ResponseReceived a && a.status() == 200) {
        answered.merge(InvariantChecker.operationOf(a.requestId()), a.atMicros(), Math::min);
      }
    }
    Map<String, double[]> stores = new HashMap<>();
    Set<String> taken = new HashSet<>();
    double offered = 0;
    double served = 0;
    List<RequestSent> all =
        trace.stream()
            .filter(RequestSent.class::isInstance)
            .map(RequestSent.class::cast)
            .sorted(Comparator.comparingLong(RequestSent::atMicros))
            .toList();
    for (RequestSent a : all) {
      String operation = InvariantChecker.operationOf(a.requestId());
      Plan plan = figures.customerPlans().get(a.customer());
      RequestClass type = figures.requestClasses().get(a.requestClass());
      if (plan == null || type == null || !taken.add(operation)) {
        continue;
      }
      double worth = type.priorityWeight() * plan.priorityWeight() * a.units();
      boolean inside = plan.unitsPerSecond() <= 0;
      if (!inside) {
        double[] store =
            stores.computeIfAbsent(
                a.customer(), c -> new double[] {plan.burstUnits(), a.atMicros()});
        store[0] =
            Math.min(
                plan.burstUnits(),
                store[0] + (a.atMicros() - store[1]) / 1e6 * plan.unitsPerSecond());
        store[1] = a.atMicros();
        inside = store[0] >= a.units();
        store[0] -= inside ? a.units() : 0;
      }
      if (inside) {
        offered += worth;
        Long at = answered.get(operation);
        served += at != null && at <= a.atMicros() + type.latencyObjectiveMicros() ? worth : 0;
      }
    }
    return offered == 0 ? 0 : served / offered;
  }
}
