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
  public static final int WINDOW = 60;

  /**
   * Seconds over which what a customer asks is taken, and the share of its plan's rate from which
   * on it asks all of it.
   */
  private static final double LATELY = 10;

  private static final double NEAR = 0.95;

  /** Seconds of a run that do not count: stores are full and nothing is known yet. */
  public static final int SETTLED = 10;

  /**
   * Use of some customers.
   *
   * @param worst most that all of them together used in any window, as a share of what their plans
   *     allow in it
   * @param worstCustomer the same of the one customer that used most
   * @param kept what was used of what was both asked and allowed, each customer by itself, from 0
   *     to 1
   * @param beyond what was used beyond that, as a share of it
   */
  public record Use(double worst, double worstCustomer, double kept, double beyond) {}

  private static final class Account {
    final Plan plan;
    final double[] used;
    final double[] entitled;

    /** The store as one gatekeeper that saw all tries would keep it. */
    double level;

    /** What was asked of late, fading over {@link #LATELY} seconds. */
    double asked;

    long at;

    Account(Plan plan, int seconds) {
      this.plan = plan;
      used = new double[seconds];
      entitled = new double[seconds];
      level = Math.max(plan.burstUnits(), 1);
    }

    void until(long atMicros) {
      double passed = Math.max(0, atMicros - at) / 1e6;
      at = Math.max(at, atMicros);
      level = Math.min(Math.max(plan.burstUnits(), 1), level + plan.unitsPerSecond() * passed);
      asked *= Math.exp(-passed / LATELY);
    }
  }

  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, Plan> plans;
  private final int seconds;

  /**
   * @param plans of each customer; those without a rate are left out
   * @param seconds of the run that count
   */
  public QuotaUsage(Map<String, Plan> plans, int seconds) {
    this.plans = plans;
    this.seconds = Math.max(1, seconds);
  }

  private Account account(String customer) {
    Plan plan = plans.get(customer);
    return plan == null || plan.unitsPerSecond() <= 0
        ? null
        : accounts.computeIfAbsent(customer, c -> new Account(plan, seconds));
  }

  /** A customer asked; all that is told here is told in the order of time. */
  public void asked(long atMicros, String customer, double units) {
    Account a = account(customer);
    if (a == null) {
      return;
    }
    a.until(atMicros);
    a.asked += units;
    if (a.level >= units) {
      a.level -= units;
      add(a.entitled, atMicros, units);
    }
  }

  /** A try was first sent on. */
  public void used(long atMicros, String customer, double units) {
    Account a = account(customer);
    if (a != null) {
      add(a.used, atMicros, units);
    }
  }

  /**
   * Whether the customer asked less than its plan's rate of late, so that a refusal is none of its
   * own making.
   */
  public boolean modest(long atMicros, String customer) {
    Account a = account(customer);
    if (a == null) {
      return true;
    }
    a.until(atMicros);
    return a.asked < NEAR * a.plan.unitsPerSecond() * LATELY * (1 - Math.exp(-a.at / 1e6 / LATELY));
  }

  private static void add(double[] to, long atMicros, double units) {
    int second = (int) (atMicros / 1_000_000);
    if (second >= 0 && second < to.length) {
      to[second] += units;
    }
  }

  /** Units a second that the plans of the customers whose names begin so allow together. */
  public double allowed(String prefix) {
    return plans.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToDouble(e -> e.getValue().unitsPerSecond())
        .sorted()
        .sum();
  }

  /** What was used each second by the customers whose names begin so. */
  public double[] series(String prefix) {
    double[] all = new double[seconds];
    accounts.forEach(
        (name, a) -> {
          for (int i = 0; name.startsWith(prefix) && i < seconds; i++) {
            all[i] += a.used[i];
          }
        });
    return all;
  }

  /**
   * The use of the customers whose names begin so; of none at all when nothing was asked of them.
   */
  public Use of(String prefix) {
    int from = seconds > SETTLED ? SETTLED : 0;
    double rate = 0;
    double[] together = new double[seconds];
    double worstCustomer = 0;
    double kept = 0;
    double entitled = 0;
    double beyond = 0;
    List<String> names = new ArrayList<>(accounts.keySet());
    names.sort(null); // The sums must be the same to the digit in each run.
    for (String name : names) {
      if (!name.startsWith(prefix)) {
        continue;
      }
      Account a = accounts.get(name);
      rate += a.plan.unitsPerSecond();
      for (int i = 0; i < seconds; i++) {
        together[i] += a.used[i];
      }
      worstCustomer = Math.max(worstCustomer, worst(a.used, from) / a.plan.unitsPerSecond());
      double used = Arrays.stream(a.used, from, seconds).sum();
      double may = Arrays.stream(a.entitled, from, seconds).sum();
      kept += Math.min(used, may);
      beyond += Math.max(0, used - may);
      entitled += may;
    }
    return new Use(
        rate == 0 ? 0 : worst(together, from) / rate,
        worstCustomer,
        entitled == 0 ? 1 : kept / entitled,
        entitled == 0 ? 0 : beyond / entitled);
  }

  /** The highest mean rate of any window; of all that is there when it is shorter than one. */
  private static double worst(double[] bySecond, int from) {
    int window = Math.min(WINDOW, bySecond.length - from);
    double sum = Arrays.stream(bySecond, from, from + window).sum();
    double worst = sum;
    for (int end = from + window; end < bySecond.length; end++) {
      sum += bySecond[end] - bySecond[end - window];
      worst = Math.max(worst, sum);
    }
    return worst / window;
  }
}
