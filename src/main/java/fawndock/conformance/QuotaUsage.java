package fawndock.conformance;

import fawndock.policy.config.Plan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares what was forwarded for each customer with its plan. A try counts once, when it is first
 * forwarded. A customer is entitled to what one gateway that saw all tries would have admitted: a
 * token bucket that starts full and gives each try its units or nothing. Not thread-safe.
 */
public final class QuotaUsage {
  /** Length of the windows over which the peak is taken; they begin after the settling time. */
  public static final int WINDOW_SECONDS = 60;

  /** Start of a run that does not count: buckets are full and nothing is known yet. */
  public static final int SETTLING_SECONDS = 10;

  /** Time constant with which the recent demand decays. */
  private static final double DEMAND_DECAY_SECONDS = 10;

  /** Share of a plan's rate from which on a customer counts as using all of it. */
  private static final double NEAR_PLAN_RATIO = 0.95;

  /**
   * Use of some customers.
   *
   * @param peakPlanRatio the most that all of them together used in any window, as a share of what
   *     their plans allow in it
   * @param peakCustomerPlanRatio the same of the one customer that used most
   * @param entitledUseRatio what was used of what they were entitled to, each customer by itself,
   *     from 0 to 1
   * @param excessRatio what was used beyond that, as a share of it
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

    /** What was requested recently, decaying over {@link #DEMAND_DECAY_SECONDS}. */
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
   * @param plans of each customer; those without a rate are left out
   * @param seconds of the run that count
   */
  public QuotaUsage(Map<String, Plan> plans, int seconds) {
    this.plans = plans;
    this.durationSeconds = Math.max(1, seconds);
  }

  /** The usage of a customer, or null when its plan has no rate. */
  private CustomerUsage usageOf(String customer) {
    Plan plan = plans.get(customer);
    return plan == null || plan.unitsPerSecond() <= 0
        ? null
        : usageByCustomer.computeIfAbsent(customer, c -> new CustomerUsage(plan, durationSeconds));
  }

  /** A customer sent a try; all events must come in order of time. */
  public void onRequest(long atMicros, String customer, double units) {
    CustomerUsage usage = usageOf(customer);
    if (usage == null) {
      return;
    }
    usage.advanceTo(atMicros);
    usage.recentDemandUnits += units;
    if (usage.entitlement.tryTake(units)) {
      addAt(usage.entitledUnits, atMicros, units);
    }
  }

  /** A try was first forwarded. */
  public void onForwarded(long atMicros, String customer, double units) {
    CustomerUsage usage = usageOf(customer);
    if (usage != null) {
      addAt(usage.usedUnits, atMicros, units);
    }
  }

  /**
   * Whether the customer recently requested less than its plan's rate, so that a rejection is not
   * of its own making.
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

  private static void addAt(double[] bySecond, long atMicros, double units) {
    int second = (int) (atMicros / 1_000_000);
    if (second >= 0 && second < bySecond.length) {
      bySecond[second] += units;
    }
  }

  /** Units a second that the plans of the customers whose names begin so allow together. */
  public double planUnitsPerSecond(String prefix) {
    return plans.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToDouble(e -> e.getValue().unitsPerSecond())
        .sorted()
        .sum();
  }

  /** What the customers whose names begin so used in each second. */
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

  /** The use of the customers whose names begin so. */
  public Summary summarize(String prefix) {
    int fromSecond = durationSeconds > SETTLING_SECONDS ? SETTLING_SECONDS : 0;
    double planRate = 0;
    double[] together = new double[durationSeconds];
    double peakCustomerRatio = 0;
    double usedWithin = 0;
    double entitled = 0;
    double excess = 0;
    for (CustomerUsage usage : sortedUsage(prefix)) {
      double rate = usage.plan.unitsPerSecond();
      planRate += rate;
      addAll(together, usage.usedUnits);
      peakCustomerRatio =
          Math.max(peakCustomerRatio, peakUnitsPerSecond(usage.usedUnits, fromSecond) / rate);
      double used = Arrays.stream(usage.usedUnits, fromSecond, durationSeconds).sum();
      double allowed = Arrays.stream(usage.entitledUnits, fromSecond, durationSeconds).sum();
      usedWithin += Math.min(used, allowed);
      excess += Math.max(0, used - allowed);
      entitled += allowed;
    }
    return new Summary(
        planRate == 0 ? 0 : peakUnitsPerSecond(together, fromSecond) / planRate,
        peakCustomerRatio,
        entitled == 0 ? 1 : usedWithin / entitled,
        entitled == 0 ? 0 : excess / entitled);
  }

  /** In order of the names, so that sums are the same to the digit in each run. */
  private List<CustomerUsage> sortedUsage(String prefix) {
    List<String> names = new ArrayList<>(usageByCustomer.keySet());
    names.removeIf(name -> !name.startsWith(prefix));
    names.sort(null);
    return names.stream().map(usageByCustomer::get).toList();
  }

  /** The highest mean rate of any window; of the whole time when that is shorter than a window. */
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
