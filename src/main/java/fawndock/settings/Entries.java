package fawndock.settings;

import fawndock.Gatekeeper.Group;
import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Rules;

/**
 * The entries that a gatekeeper is started with: what a line says, and what in it does not go
 * together.
 */
public final class Entries {
  static final long HOUR = 3_600_000_000L;
  static final double MANY = 1e9;

  private Entries() {}

  /** Reads what a {@code class} line says. */
  public static RequestClass requestClass(Args a) {
    long deadline = a.time("deadline", 1_000, HOUR, 1_000_000);
    RequestClass c =
        new RequestClass(
            a.place(0),
            a.time("aim", 1_000, HOUR, deadline),
            a.number("aim-stretch", 0, MANY, 0),
            deadline,
            a.number("worth", 0, MANY, 1),
            a.number("late-worth", 0, 1, 0),
            a.oneOf("repeat", Repeat.class, Repeat.AT_MOST_ONCE),
            a.oneOf("group", Group.class, Group.CELL),
            a.time("window", 0, HOUR, 0),
            a.flag("streamed", false));
    if (c.aimMicros() > c.deadlineMicros()) {
      a.wrong("the aim of " + c.name() + " is beyond its deadline", "aim at most deadline");
    }
    if (c.repeat() == Repeat.DEDUPLICATED && c.repeatWindowMicros() == 0) {
      a.wrong("class " + c.name() + " is deduplicated without a window", "window TIME");
    }
    return c;
  }

  /** Reads what a {@code plan} line says. */
  public static Plan plan(Args a) {
    Plan p =
        new Plan(
            a.place(0),
            a.number("rate", 0, MANY, 0),
            a.number("store", 0, MANY, 0),
            a.whole("open", 0, 1_000_000, 0),
            a.number("pays", 0, MANY, 1),
            a.number("over-worth", 0, MANY, 0),
            a.number("over-cost", 0, MANY, 0),
            a.number("ceiling-rate", 0, MANY, 0),
            a.number("ceiling-burst", 0, MANY, 0),
            a.number("ceiling-slack", 0, MANY, 0));
    if (p.rate() > 0 && p.storeSize() <= 0) {
      a.wrong("plan " + p.name() + " has a rate and no store", "store N above 0");
    }
    if (p.ceilingRate() > 0 && p.ceilingBurst() <= 0) {
      a.wrong(
          "plan " + p.name() + " has a ceiling-rate and no ceiling-burst",
          "ceiling-burst N above 0");
    }
    return p;
  }

  /** Reads what a {@code limits} line says. */
  public static Limits limits(Args a) {
    return new Limits(
        a.whole("attempts", 1, 100, 3),
        a.whole("open", 1, 1_000_000, 10_000),
        a.time("retry-after", 0, HOUR, 30_000_000),
        a.flag("duplicates", false),
        a.flag("cancel", true),
        a.flag("probes", false),
        a.flag("peers", true),
        true);
  }

  /** Reads what a {@code rules} line says. */
  public static Rules rules(Args a) {
    return new Rules(
        a.time("answer-grace", 0, HOUR, 10_000),
        a.time("drain-grace", 0, HOUR, 2_000_000),
        a.number("cold-share", 0, 1, 0.2),
        a.time("cold-time", 0, HOUR, 10_000_000),
        a.number("fall-multiple", 1, MANY, 2),
        a.time("fall-time", 1_000, HOUR, 2_000_000),
        a.time("ask-within", 1_000, HOUR, 10_000_000));
  }
}
