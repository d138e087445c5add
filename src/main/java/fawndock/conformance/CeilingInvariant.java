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
 * Rule 5: a customer never exceeds its hard ceiling. The first attempt of each request takes the
 * request's units from a token bucket with the ceiling's rate and burst, whose balance may become
 * negative by at most the plan's tolerance. Not thread-safe.
 */
final class CeilingInvariant {
  /** Prevents rounding errors of the token bucket from counting as violations. */
  private static final double ROUNDING_TOLERANCE_UNITS = 1e-6;

  private record Charge(long atMicros, double units) {}

  private final TraceIndex trace;
  private final ConformanceLimits limits;
  private final ViolationLog violations;

  CeilingInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.limits = limits;
    this.violations = violations;
  }

  /** Returns the number of charges that exceeded their customer's ceiling. */
  int countExceeded() {
    int exceeded = 0;
    for (Map.Entry<String, List<Charge>> entry : chargesByCustomer().entrySet()) {
      Plan plan = limits.customerPlans().get(entry.getKey());
      if (plan != null && plan.ceilingUnitsPerSecond() > 0) {
        exceeded += countExceeded(entry.getKey(), plan, entry.getValue());
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
      if (available < -plan.ceilingToleranceUnits() - ROUNDING_TOLERANCE_UNITS) {
        violations.add(
            customer
                + " exceeded its ceiling by "
                + Math.round(-available - plan.ceilingToleranceUnits()));
        exceeded++;
      }
    }
    return exceeded;
  }
}
