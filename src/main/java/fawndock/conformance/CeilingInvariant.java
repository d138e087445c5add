package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.policy.config.Plan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule 5: a customer's hard ceiling holds. The first attempt of each request takes its units from a
 * token bucket of the ceiling's rate and burst, which may go below zero by the plan's tolerance.
 */
final class CeilingInvariant {
  /** Guards the comparison against rounding. */
  private static final double EPSILON_UNITS = 1e-6;

  private record Charge(long atMicros, double units) {}

  private final TraceIndex trace;
  private final ConformanceLimits limits;
  private final ViolationLog violations;

  CeilingInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.limits = limits;
    this.violations = violations;
  }

  /** How many charges went beyond their customer's ceiling. */
  int countExceeded() {
    int exceeded = 0;
    for (Map.Entry<String, List<Charge>> each : chargesByCustomer().entrySet()) {
      Plan plan = limits.customerPlans().get(each.getKey());
      if (plan != null && plan.ceilingUnitsPerSecond() > 0) {
        exceeded += countExceeded(each.getKey(), plan, each.getValue());
      }
    }
    return exceeded;
  }

  private Map<String, List<Charge>> chargesByCustomer() {
    Map<String, List<Charge>> charges = new HashMap<>();
    for (RequestSent request : trace.requests()) {
      List<AttemptArrived> attempts = trace.attempts(request.requestId());
      if (!attempts.isEmpty()) {
        charges
            .computeIfAbsent(request.customer(), k -> new ArrayList<>())
            .add(new Charge(attempts.get(0).atMicros(), request.units()));
      }
    }
    return charges;
  }

  private int countExceeded(String customer, Plan plan, List<Charge> charges) {
    charges.sort(Comparator.comparingLong(Charge::atMicros));
    int exceeded = 0;
    TokenBucket bucket = new TokenBucket(plan.ceilingBurstUnits(), plan.ceilingUnitsPerSecond(), 0);
    for (Charge charge : charges) {
      bucket.refillUntil(charge.atMicros());
      double available = bucket.take(charge.units());
      if (available < -plan.ceilingToleranceUnits() - EPSILON_UNITS) {
        violations.add(
            customer
                + " passed its ceiling by "
                + Math.round(-available - plan.ceilingToleranceUnits()));
        exceeded++;
      }
    }
    return exceeded;
  }
}
