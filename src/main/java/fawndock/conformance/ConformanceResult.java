package fawndock.conformance;

import java.util.List;

/**
 * How often each rule was broken in a trace.
 *
 * @param requestCount requests in the trace
 * @param unansweredCount requests without a final response in time (rule 1)
 * @param answeredTwiceCount requests with a second response, or an attempt after the response (1)
 * @param repeatedEffectCount effects that happened twice, or may have (2)
 * @param lateDrainCount attempts to draining endpoints after the grace (3)
 * @param warmUpOverloadCount starts of endpoints that were overloaded while warming up (4)
 * @param ceilingExceededCount charges beyond a hard ceiling (5)
 * @param violations a line on each of the first violations
 */
public record ConformanceResult(
    int requestCount,
    int unansweredCount,
    int answeredTwiceCount,
    int lateDrainCount,
    int repeatedEffectCount,
    int warmUpOverloadCount,
    int ceilingExceededCount,
    List<String> violations) {

  /** Whether no rule was broken, and there was a request at all. */
  public boolean isConformant() {
    return requestCount > 0 && violationCount() == 0;
  }

  /** How often any rule was broken, over all rules. */
  public int violationCount() {
    return unansweredCount
        + answeredTwiceCount
        + lateDrainCount
        + repeatedEffectCount
        + warmUpOverloadCount
        + ceilingExceededCount;
  }

  /** The summary that scenarios print last; its wording is part of their output format. */
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
