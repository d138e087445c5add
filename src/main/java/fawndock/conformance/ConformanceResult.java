package fawndock.conformance;

import java.util.List;

/** How often each rule was broken in a trace, with a line on each of the first breaches. */
public record ConformanceResult(
    int requestCount,
    int unansweredCount,
    int answeredTwiceCount,
    int lateDrainCount,
    int repeatedEffectCount,
    int warmUpOverloadCount,
    int ceilingExceededCount,
    List<String> violations) {

  /** Whether no rule was broken, and something was asked at all. */
  public boolean isConformant() {
    return requestCount > 0 && violationCount() == 0;
  }

  /** How often any rule was broken. */
  public int violationCount() {
    return unansweredCount
        + answeredTwiceCount
        + lateDrainCount
        + repeatedEffectCount
        + warmUpOverloadCount
        + ceilingExceededCount;
  }

  /** The last line of a drill. */
  public String summaryLine() {
    return (isConformant() ? "rules kept: " : "rules broken: ")
        + requestCount
        + " requests, "
        + unansweredCount
        + " unanswered, "
        + answeredTwiceCount
        + " answered twice, "
        + lateDrainCount
        + " late drains, "
        + repeatedEffectCount
        + " repeated effects, "
        + warmUpOverloadCount
        + " cold falls, "
        + ceilingExceededCount
        + " ceilings passed";
  }
}
