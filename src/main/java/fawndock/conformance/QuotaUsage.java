package fawndock.conformance;

import fawndock.policy.config.Plan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the units forwarded for each customer with its plan. A request counts once, when its
 * first attempt is forwarded. A customer is entitled to the units that a single gateway receiving
 * all requests would have admitted: a token bucket that starts full and grants each request all of
 * its units or none. Not thread-safe.
 */
public final class QuotaUsage {
  /** Length of the sliding window of the peak rate; windows start after the settling time. */
  public static final int WINDOW_SECONDS = 60;

  /**
   * Initial part of a run that is not measured, because token buckets are still full and gateways
   * have no measurements yet.
   */
  public static final int SETTLING_SECONDS = 10;

  /** Time constant of the exponential decay of a customer's recent demand. */
  private static final double DEMAND_DECAY_SECONDS = 10;

  /** Ratio of demand to plan rate from which a customer counts as using its whole plan. */
  private static final double NEAR_PLAN_RATIO = 0.95;

  /**
   * Usage of a group of customers. Immutable.
   *
   * @param peakPlanRatio ratio of the group's peak rate over any window to the sum of its plans'
   *     rates
   * @param peakCustomerPlanRatio highest ratio of a single customer's peak rate to its plan's rate
   * @param entitledUseRatio share of the entitled units that was used, with each customer's use
   *     capped at its own entitlement; from 0 to 1
   * @param excessRatio ratio of the units used beyond each customer's entitlement to the entitled
   *     units
   */
  public record Summary(
      double peakPlanRatio,
      double peakCustomerPlanRatio,
      double entitledUseRatio,
      double excessRatio) {}

  private static final class CustomerUsage {
    final Plan plan;
    final double[] usedUnits;
    final double[] entitledUnits;
    final TokenBucket entitlement;

    /** Requested units, decaying exponentially over {@link #DEMAND_DECAY_SECONDS}. */
    double recentDemandUnits;

    long updatedAtMicros;

    CustomerUsage(Plan plan, int seconds) {
      this.plan = plan;
      usedUnits = new double[seconds];
      entitledUnits = new double[seconds];
      entitlement = new TokenBucket(Math.max(plan.burstUnits(), 1), plan.unitsPerSecond(), 0);
    }

    void advanceTo(long atMicros) {
      double elapsedSeconds = Math.max(0, atMicros - updatedAtMicros) / 1e6;
      updatedAtMicros = Math.max(updatedAtMicros, atMicros);
      entitlement.refillUntil(atMicros);
      recentDemandUnits *= Math.exp(-elapsedSeconds / DEMAND_DECAY_SECONDS);
    }
  }

  private final Map<String, CustomerUsage> usageByCustomer = new HashMap<>();
  private final Map<String, Plan> plans;
  private final int durationSeconds;

  /**
   * @param plans plans by customer; customers whose plan has no rate are ignored
   * @param seconds length of the measured run
   */
  public QuotaUsage(Map<String, Plan> plans, int seconds) {
    this.plans = plans;
    this.durationSeconds = Math.max(1, seconds);
  }

  /** Returns the usage of a customer, or null when its plan has no rate. */
  private CustomerUsage usageOf(String customer) {
    Plan plan = plans.get(customer);
    return plan == null || plan.unitsPerSecond() <= 0
        ? null
        : usageByCustomer.computeIfAbsent(customer, c -> new CustomerUsage(plan, durationSeconds));
  }

  /** Records that a customer sent a request. All events must be recorded in time order. */
  public void onRequest(long atMicros, String customer, double units) {
    CustomerUsage usage = usageOf(customer);
    if (usage == null) {
      return;
    }
    usage.advanceTo(atMicros);
    usage.recentDemandUnits += units;
    if (usage.entitlement.tryTake(units)) {
      addToSecond(usage.entitledUnits, atMicros, units);
    }
  }

  /** Records that the first attempt of a request was forwarded. */
  public void onForwarded(long atMicros, String customer, double units) {
    CustomerUsage usage = usageOf(customer);
    if (usage != null) {
      addToSecond(usage.usedUnits, atMicros, units);
    }
  }

  /**
   * Returns whether the customer's recent demand is below its plan's rate, so that a rejection is
   * not caused by the customer's own load.
   */
  public boolean isBelowPlanRate(long atMicros, String customer) {
    CustomerUsage usage = usageOf(customer);
    if (usage == null) {
      return true;
    }
    usage.advanceTo(atMicros);
    return usage.recentDemandUnits
        < NEAR_PLAN_RATIO
            * usage.plan.unitsPerSecond()
            * DEMAND_DECAY_SECONDS
            * (1 - Math.exp(-usage.updatedAtMicros / 1e6 / DEMAND_DECAY_SECONDS));
  }

  private static void addToSecond(double[] bySecond, long atMicros, double units) {
    int second = (int) (atMicros / 1_000_000);
    if (second >= 0 && second < bySecond.length) {
      bySecond[second] += units;
    }
  }

  /** Returns the sum of the plan rates of all customers whose names start with a prefix. */
  public double planUnitsPerSecond(String prefix) {
    return plans.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToDouble(e -> e.getValue().unitsPerSecond())
        .sorted()
        .sum();
  }

  /** Returns the units used in each second by all customers whose names start with a prefix. */
  public double[] usedUnitsBySecond(String prefix) {
    double[] total = new double[durationSeconds];
    usageByCustomer.forEach(
        (name, usage) -> {
          if (name.startsWith(prefix)) {
            addAll(total, usage.usedUnits);
          }
        });
    return total;
  }

  private static void addAll(double[] total, double[] bySecond) {
    for (int i = 0; i < total.length; i++) {
      total[i] += bySecond[i];
    }
  }

  /** Returns the usage of the customers whose names start with a prefix. */
  public Summary summarize(String prefix) {
    int fromSecond = durationSeconds > SETTLING_SECONDS ? SETTLING_SECONDS : 0;
    double planRate = 0;
    double[] totalUsedUnits = new double[durationSeconds];
    double peakCustomerRatio = 0;
    double usedWithinEntitlement = 0;
    double entitled = 0;
    double excess = 0;
    for (CustomerUsage usage : sortedUsage(prefix)) {
      double rate = usage.plan.unitsPerSecond();
      planRate += rate;
      addAll(totalUsedUnits, usage.usedUnits);
      peakCustomerRatio =
          Math.max(peakCustomerRatio, peakUnitsPerSecond(usage.usedUnits, fromSecond) / rate);
      double used = Arrays.stream(usage.usedUnits, fromSecond, durationSeconds).sum();
      double allowed = Arrays.stream(usage.entitledUnits, fromSecond, durationSeconds).sum();
      usedWithinEntitlement += Math.min(used, allowed);
      excess += Math.max(0, used - allowed);
      entitled += allowed;
    }
    return new Summary(
        planRate == 0 ? 0 : peakUnitsPerSecond(totalUsedUnits, fromSecond) / planRate,
        peakCustomerRatio,
        entitled == 0 ? 1 : usedWithinEntitlement / entitled,
        entitled == 0 ? 0 : excess / entitled);
  }

  /** Returns usage sorted by customer name, so that floating-point sums are reproducible. */
  private List<CustomerUsage> sortedUsage(String prefix) {
    List<String> names = new ArrayList<>(usageByCustomer.keySet());
    names.removeIf(name -> !name.startsWith(prefix));
    names.sort(null);
    return names.stream().map(usageByCustomer::get).toList();
  }

  /** Returns the highest mean rate of any window, or of the whole run if that is shorter. */
  private static double peakUnitsPerSecond(double[] bySecond, int fromSecond) {
    int window = Math.min(WINDOW_SECONDS, bySecond.length - fromSecond);
    double sum = Arrays.stream(bySecond, fromSecond, fromSecond + window).sum();
    double peak = sum;
    for (int end = fromSecond + window; end < bySecond.length; end++) {
      sum += bySecond[end] - bySecond[end - window];
      peak = Math.max(peak, sum);
    }
    return peak / window;
  }
}
