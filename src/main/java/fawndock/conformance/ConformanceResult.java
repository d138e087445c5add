package fawndock.conformance;

import java.util.List;

/**
 * The number of violations of each rule in a trace. Immutable.
 *
 * @param requestCount requests in the trace
 * @param unansweredCount requests without a final response in time (rule 1)
 * @param answeredTwiceCount requests with a second response or an attempt after the response (rule
 *     1)
 * @param lateDrainCount attempts that reached draining endpoints after the grace period (rule 3)
 * @param repeatedEffectCount effects that occurred, or may have occurred, more than once (rule 2)
 * @param warmUpOverloadCount starts of endpoints that were overloaded while warming up (rule 4)
 * @param ceilingExceededCount charges that exceeded a hard ceiling (rule 5)
 * @param violations descriptions of the first violations, one line each
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

  /** Returns whether the trace has at least one request and no violations. */
  public boolean isConformant() {
    return requestCount > 0 && violationCount() == 0;
  }

  /** Returns the number of violations of all rules together. */
  public int violationCount() {
    return unansweredCount
        + answeredTwiceCount
        + lateDrainCount
        + repeatedEffectCount
        + warmUpOverloadCount
        + ceilingExceededCount;
  }

  /** Returns a one-line summary. Its wording is part of the output format of scenarios. */
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
