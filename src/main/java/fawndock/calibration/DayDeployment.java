package fawndock.calibration;

import fawndock.policy.config.Idempotency;
import fawndock.scenario.DayFile;
import fawndock.scenario.DayFile.DayFault;
import fawndock.scenario.DayFile.DayPlan;
import fawndock.scenario.DayFile.DayRequestClass;
import java.util.Locale;

/**
 * Describes a day that the bench drew to the emulator, as a deployment file. What the emulator does
 * not model is written there as a comment, so that nobody takes the two for the same.
 */
public final class DayDeployment {
  private static final double HEAVY = 3;
  private static final double FULL = 0.95;
  private final DayFile day;
  private final StringBuilder text = new StringBuilder();

  private DayDeployment(DayFile day) {
    this.day = day;
  }

  /** The text of a deployment file. */
  public static String of(DayFile day) {
    return new DayDeployment(day).describe();
  }

  private void line(String form, Object... values) {
    text.append(String.format(Locale.ROOT, form, values)).append('\n');
  }

  private String describe() {
    double work =
        day.requestClasses().stream().mapToDouble(k -> k.share() * k.workMicros()).sum()
            / day.requestClasses().stream().mapToDouble(DayRequestClass::share).sum();
    line(
        "# %s, described to the emulator: sizes, plans, load and troubles are the day's, work lies evenly about its mean",
        day.name());
    line("gatekeepers %d", day.gatewayCount());
    line(
        "workers %d cores %d work %.0fus queue %d cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.backendCount(),
        day.backend().cores(),
        work,
        day.backend().queueCapacity(),
        day.backend().slowStartShare(),
        day.backend().slowStartMicros(),
        day.collapseMultiple(),
        day.collapseWindowMicros());
    line(
        "network way %.0fus more %.0fus",
        Math.max(1, day.networkDelayMicros()), day.networkDelayMicros() / 4);
    line(
        "counter rate %.1f wait %.0fus parts %d queue %.0fus",
        day.counter().callsPerSecond(),
        day.counter().timeoutMicros(),
        day.counter().partitionCount(),
        day.counter().maxQueueMicros());
    line("roster %.0fus", day.discoveryDelayMicros());
    line("for %.3fs", day.seconds());
    for (DayRequestClass k : day.requestClasses()) {
      line(
          "class %s aim %dus deadline %dus repeat %s%s",
          k.name(),
          k.latencyObjectiveMicros(),
          k.deadlineMicros(),
          k.idempotency().name().toLowerCase(Locale.ROOT).replace('_', '-'),
          k.deduplicationWindowMicros() > 0 && k.idempotency() == Idempotency.DEDUPLICATED
              ? " group all window " + k.deduplicationWindowMicros() + "us"
              : "");
    }
    day.plans()
        .forEach(
            p ->
                line(
                    p.unitsPerSecond() > 0
                        ? "plan %s rate %.4f store %.3f pays %.2f over-cost %.2f"
                        : "plan %s rate 0 pays %4$.2f",
                    p.name(),
                    p.unitsPerSecond(),
                    Math.max(1, p.burstUnits()),
                    p.priorityWeight(),
                    p.overQuotaCost()));
    line("limits attempts 4 open 5000");
    line(
        "rules answer-grace 10ms drain-grace %.0fus cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.drainGraceMicros(),
        day.backend().slowStartShare(),
        day.backend().slowStartMicros(),
        day.collapseMultiple(),
        day.collapseWindowMicros());
    day.plans().forEach(this::customers);
    day.faults().forEach(this::trouble);
    return text.toString();
  }

  /**
   * A plan's customers: some ask far more than their plan, some nearly all of it, the others a
   * part.
   */
  private void customers(DayPlan plan) {
    double rate = plan.unitsPerSecond() > 0 ? plan.unitsPerSecond() : 5;
    int heavy = (int) Math.round(day.overQuotaShare() * plan.customerCount());
    int full = (int) Math.round(day.atQuotaShare() * plan.customerCount());
    demand(plan, "heavy", heavy, HEAVY * rate);
    demand(plan, "full", full, FULL * rate);
    demand(plan, "calm", plan.customerCount() - heavy - full, day.belowQuotaDemand() * rate);
  }

  private void demand(DayPlan plan, String manner, int customers, double each) {
    for (DayRequestClass k :
        customers <= 0 ? java.util.List.<DayRequestClass>of() : day.requestClasses()) {
      double share =
          k.share() / day.requestClasses().stream().mapToDouble(DayRequestClass::share).sum();
      line(
          "demand %s-%s-%s class %s plan %s customers %d rate %.4f spread %d remaining %dus give-up %dus retry after wait 300ms "
              + "tries %d",
          plan.name(),
          manner,
          k.name(),
          k.name(),
          plan.name(),
          customers,
          Math.max(0.001, share * customers * each),
          plan.gatewaysPerCustomer(),
          k.deadlineMicros(),
          k.deadlineMicros() + 1_000_000,
          1 + Math.min(3, day.retries()));
    }
  }

  private void trouble(DayFault t) {
    double until = Math.max(t.atSecond() + 0.001, t.atSecond() + t.seconds());
    String when = String.format(Locale.ROOT, "from %.3fs until %.3fs", t.atSecond(), until);
    int count =
        (int)
            Math.max(
                1, Math.min(day.backendCount(), Math.round(t.backendShare() * day.backendCount())));
    boolean empty = t.extra() > 0.5 || t.mode().contains("empty");
    switch (t.kind()) {
      case "slow", "ageing" ->
          line("trouble worker-slow %s count %d times %.3f", when, count, Math.max(1, t.size()));
      case "shared_slow" ->
          line(
              "trouble worker-slow %s count %d times %.3f",
              when, day.backendCount(), Math.max(1, t.size()));
      case "answer_lost" ->
          line(
              "trouble worker-loses-answers %s count %d share %.3f",
              when, count, Math.min(1, t.size()));
      case "vanish" -> line("trouble worker-dies %s count %d", when, count);
      case "burst", "tenant_burst" ->
          line("trouble burst %s times %.3f", when, Math.max(1, t.size()));
      case "give_up" -> line("trouble give-up %s share %.3f", when, Math.min(0.5, t.size()));
      case "retry_abuse" -> line("trouble retry-storm %s many 8", when);
      case "origin_slow" -> line("trouble counter-slow %s times %.3f", when, Math.max(1, t.size()));
      case "flush" -> line("trouble counter-loses %s", when);
      case "counter_down" ->
          line(
              t.mode().contains("refus") || empty
                  ? "trouble counter-dies %s empty " + (empty ? "yes" : "no")
                  : "trouble counter-silent %s",
              when);
      case "deploy" -> line("trouble deploy %s many %d", when, Math.max(1, day.backendCount() / 8));
      case "shrink" ->
          line("trouble worker-drains %s count %d", when, Math.max(1, day.backendCount() / 3));
      default -> line("# trouble %s %s: no such kind here", t.kind(), when);
    }
  }
}
