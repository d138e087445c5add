package fawndock.conformance;

import java.util.List;

/** How often each rule was broken in a trace, with a line on each of the first breaches. */
public record ConformanceResult(
    int requests,
    int unanswered,
    int answeredTwice,
    int lateDrains,
    int repeatedEffects,
    int coldFalls,
    int ceilingsPassed,
    List<String> breaches) {

  /** Whether no rule was broken, and something was asked at all. */
  public boolean kept() {
    return requests > 0 && broken() == 0;
  }

  /** How often any rule was broken. */
  public int broken() {
    return unanswered + answeredTwice + lateDrains + repeatedEffects + coldFalls + ceilingsPassed;
  }

  /** The last line of a drill. */
  public String line() {
    return (kept() ? "rules kept: " : "rules broken: ")
        + requests
        + " requests, "
        + unanswered
        + " unanswered, "
        + answeredTwice
        + " answered twice, "
        + lateDrains
        + " late drains, "
        + repeatedEffects
        + " repeated effects, "
        + coldFalls
        + " cold falls, "
        + ceilingsPassed
        + " ceilings passed";
  }
}
