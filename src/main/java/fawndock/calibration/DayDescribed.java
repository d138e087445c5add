package fawndock.calibration;

import fawndock.policy.config.Idempotency;
import fawndock.scenario.DayFile;
import fawndock.scenario.DayFile.Kind;
import fawndock.scenario.DayFile.PlanOf;
import fawndock.scenario.DayFile.Trouble;
import java.util.Locale;

/**
 * Describes a day that the bench drew to the emulator, as a deployment file. What the emulator does
 * not model is written there as a comment, so that nobody takes the two for the same.
 */
public final class DayDescribed {
  private static final double HEAVY = 3;
  private static final double FULL = 0.95;
  private final DayFile day;
  private final StringBuilder text = new StringBuilder();

  private DayDescribed(DayFile day) {
    this.day = day;
  }

  /** The text of a deployment file. */
  public static String of(DayFile day) {
    return new DayDescribed(day).describe();
  }

  private void line(String form, Object... values) {
    text.append(String.format(Locale.ROOT, form, values)).append('\n');
  }

  private String describe() {
    double work =
        day.kinds().stream().mapToDouble(k -> k.share() * k.workMicros()).sum()
            / day.kinds().stream().mapToDouble(Kind::share).sum();
    line(
        "# %s, described to the emulator: sizes, plans, load and troubles are the day's, work lies evenly about its mean",
        day.name());
    line("gatekeepers %d", day.gatekeepers());
    line(
        "workers %d cores %d work %.0fus queue %d cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.servers(),
        day.server().cores(),
        work,
        day.server().queue(),
        day.server().coldShare(),
        day.server().coldMicros(),
        day.fallMultiple(),
        day.fallMicros());
    line("network way %.0fus more %.0fus", Math.max(1, day.wayMicros()), day.wayMicros() / 4);
    line(
        "counter rate %.1f wait %.0fus parts %d queue %.0fus",
        day.counter().perSecond(),
        day.counter().waitMicros(),
        day.counter().parts(),
        day.counter().queueMicros());
    line("roster %.0fus", day.noticeMicros());
    line("for %.3fs", day.seconds());
    for (Kind k : day.kinds()) {
      line(
          "class %s aim %dus deadline %dus repeat %s%s",
          k.name(),
          k.aimMicros(),
          k.deadlineMicros(),
          k.repeat().name().toLowerCase(Locale.ROOT).replace('_', '-'),
          k.windowMicros() > 0 && k.repeat() == Idempotency.DEDUPLICATED
              ? " group all window " + k.windowMicros() + "us"
              : "");
    }
    day.plans()
        .forEach(
            p ->
                line(
                    p.rate() > 0
                        ? "plan %s rate %.4f store %.3f pays %.2f over-cost %.2f"
                        : "plan %s rate 0 pays %4$.2f",
                    p.name(),
                    p.rate(),
                    Math.max(1, p.store()),
                    p.pays(),
                    p.overCost()));
    line("limits attempts 4 open 5000");
    line(
        "rules answer-grace 10ms drain-grace %.0fus cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.drainGraceMicros(),
        day.server().coldShare(),
        day.server().coldMicros(),
        day.fallMultiple(),
        day.fallMicros());
    day.plans().forEach(this::customers);
    day.troubles().forEach(this::trouble);
    return text.toString();
  }

  /**
   * A plan's customers: some ask far more than their plan, some nearly all of it, the others a
   * part.
   */
  private void customers(PlanOf plan) {
    double rate = plan.rate() > 0 ? plan.rate() : 5;
    int heavy = (int) Math.round(day.heavy() * plan.customers());
    int full = (int) Math.round(day.full() * plan.customers());
    demand(plan, "heavy", heavy, HEAVY * rate);
    demand(plan, "full", full, FULL * rate);
    demand(plan, "calm", plan.customers() - heavy - full, day.calm() * rate);
  }

  private void demand(PlanOf plan, String manner, int customers, double each) {
    for (Kind k : customers <= 0 ? java.util.List.<Kind>of() : day.kinds()) {
      double share = k.share() / day.kinds().stream().mapToDouble(Kind::share).sum();
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
          plan.spread(),
          k.deadlineMicros(),
          k.deadlineMicros() + 1_000_000,
          1 + Math.min(3, day.retries()));
    }
  }

  private void trouble(Trouble t) {
    double until = Math.max(t.at() + 0.001, t.at() + t.seconds());
    String when = String.format(Locale.ROOT, "from %.3fs until %.3fs", t.at(), until);
    int count = (int) Math.max(1, Math.min(day.servers(), Math.round(t.part() * day.servers())));
    boolean empty = t.extra() > 0.5 || t.how().contains("empty");
    switch (t.kind()) {
      case "slow", "ageing" ->
          line("trouble worker-slow %s count %d times %.3f", when, count, Math.max(1, t.size()));
      case "shared_slow" ->
          line(
              "trouble worker-slow %s count %d times %.3f",
              when, day.servers(), Math.max(1, t.size()));
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
              t.how().contains("refus") || empty
                  ? "trouble counter-dies %s empty " + (empty ? "yes" : "no")
                  : "trouble counter-silent %s",
              when);
      case "deploy" -> line("trouble deploy %s many %d", when, Math.max(1, day.servers() / 8));
      case "shrink" ->
          line("trouble worker-drains %s count %d", when, Math.max(1, day.servers() / 3));
      default -> line("# trouble %s %s: no such kind here", t.kind(), when);
    }
  }
}
