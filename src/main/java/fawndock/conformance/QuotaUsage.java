package fawndock.conformance;

import fawndock.policy.config.Plan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds what was sent on of each customer against its plan. A try counts once, when it is first
 * sent on. What was both asked and allowed is what one gatekeeper that saw all tries would have let
 * in: a store that begins full, fills at the plan's rate and gives each try its units or nothing.
 */
public final class QuotaUsage {
  /** Whole windows are this long, and begin after {@link #SETTLED} seconds. */
  public static final int WINDOW_SECONDS = 60;

  /**
   * Seconds over which what a customer asks is taken, and the share of its plan's rate from which
   * on it asks all of it.
   */
  private static final double DEMAND_DECAY_SECONDS = 10;

  private static final double NEAR_PLAN_RATIO = 0.95;

  /** Seconds of a run that do not count: stores are full and nothing is known yet. */
  public static final int SETTLING_SECONDS = 10;

  /**
   * Use of some customers.
   *
   * @param peakPlanRatio most that all of them together used in any window, as a share of what
   *     their plans allow in it
   * @param peakCustomerPlanRatio the same of the one customer that used most
   * @param entitledUseRatio what was used of what was both asked and allowed, each customer by
   *     itself, from 0 to 1
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

    /** The store as one gatekeeper that saw all tries would keep it. */
    double availableUnits;

    /** What was asked of late, fading over {@link #LATELY} seconds. */
    double recentDemandUnits;

    long updatedAtMicros;

    CustomerUsage(Plan plan, int seconds) {
      this.plan = plan;
      usedUnits = new double[seconds];
      entitledUnits = new double[seconds];
      availableUnits = Math.max(plan.burstUnits(), 1);
    }

    void advanceTo(long atMicros) {
      double passed = Math.max(0, atMicros - updatedAtMicros) / 1e6;
      updatedAtMicros = Math.max(updatedAtMicros, atMicros);
      availableUnits =
          Math.min(Math.max(plan.burstUnits(), 1), availableUnits + plan.unitsPerSecond() * passed);
      recentDemandUnits *= Math.exp(-passed / DEMAND_DECAY_SECONDS);
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

  private CustomerUsage usageOf(String customer) {
    Plan plan = plans.get(customer);
    return plan == null || plan.unitsPerSecond() <= 0
        ? null
        : usageByCustomer.computeIfAbsent(customer, c -> new CustomerUsage(plan, durationSeconds));
  }

  /** A customer asked; all that is told here is told in the order of time. */
  public void onRequest(long atMicros, String customer, double units) {
    CustomerUsage a = usageOf(customer);
    if (a == null) {
      return;
    }
    a.advanceTo(atMicros);
    a.recentDemandUnits += units;
    if (a.availableUnits >= units) {
      a.availableUnits -= units;
      add(a.entitledUnits, atMicros, units);
    }
  }

  /** A try was first sent on. */
  public void onForwarded(long atMicros, String customer, double units) {
    CustomerUsage a = usageOf(customer);
    if (a != null) {
      add(a.usedUnits, atMicros, units);
    }
  }

  /**
   * Whether the customer asked less than its plan's rate of late, so that a refusal is none of its
   * own making.
   */
  public boolean isBelowPlanRate(long atMicros, String customer) {
    CustomerUsage a = usageOf(customer);
    if (a == null) {
      return true;
    }
    a.advanceTo(atMicros);
    return a.recentDemandUnits
        < NEAR_PLAN_RATIO
            * a.plan.unitsPerSecond()
            * DEMAND_DECAY_SECONDS
            * (1 - Math.exp(-a.updatedAtMicros / 1e6 / DEMAND_DECAY_SECONDS));
  }

  private static void add(double[] to, long atMicros, double units) {
    int second = (int) (atMicros / 1_000_000);
    if (second >= 0 && second < to.length) {
      to[second] += units;
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

  /** What was used each second by the customers whose names begin so. */
  public double[] usedUnitsBySecond(String prefix) {
    double[] all = new double[durationSeconds];
    usageByCustomer.forEach(
        (name, a) -> {
          for (int i = 0; name.startsWith(prefix) && i < durationSeconds; i++) {
            all[i] += a.usedUnits[i];
          }
        });
    return all;
  }

  /**
   * The use of the customers whose names begin so; of none at all when nothing was asked of them.
   */
  public Summary summarize(String prefix) {
    int from = durationSeconds > SETTLING_SECONDS ? SETTLING_SECONDS : 0;
    double rate = 0;
    double[] together = new double[durationSeconds];
    double worstCustomer = 0;
    double kept = 0;
    double entitled = 0;
    double beyond = 0;
    List<String> names = new ArrayList<>(usageByCustomer.keySet());
    names.sort(null); // The sums must be the same to the digit in each run.
    for (String name : names) {
      if (!name.startsWith(prefix)) {
        continue;
      }
      CustomerUsage a = usageByCustomer.get(name);
      rate += a.plan.unitsPerSecond();
      for (int i = 0; i < durationSeconds; i++) {
        together[i] += a.usedUnits[i];
      }
      worstCustomer =
          Math.max(worstCustomer, peakUnitsPerSecond(a.usedUnits, from) / a.plan.unitsPerSecond());
      double used = Arrays.stream(a.usedUnits, from, durationSeconds).sum();
      double may = Arrays.stream(a.entitledUnits, from, durationSeconds).sum();
      kept += Math.min(used, may);
      beyond += Math.max(0, used - may);
      entitled += may;
    }
    return new Summary(
        rate == 0 ? 0 : peakUnitsPerSecond(together, from) / rate,
        worstCustomer,
        entitled == 0 ? 1 : kept / entitled,
        entitled == 0 ? 0 : beyond / entitled);
  }

  /** The highest mean rate of any window; of all that is there when it is shorter than one. */
  private static double peakUnitsPerSecond(double[] bySecond, int from) {
    int window = Math.min(WINDOW_SECONDS, bySecond.length - from);
    double sum = Arrays.stream(bySecond, from, from + window).sum();
    double worst = sum;
    for (int end = from + window; end < bySecond.length; end++) {
      sum += bySecond[end] - bySecond[end - window];
      worst = Math.max(worst, sum);
    }
    return worst / window;
  }
}
