package fawndock.conformance;

import fawndock.conformance.TraceEvent.RequestSent;
import java.util.Comparator;
import java.util.List;

/**
 * Checks a trace against the five rules, each of which is implemented by one invariant class.
 * Request ids have the form that {@link TraceEvent#operationOf} describes. Stateless.
 */
public final class InvariantChecker {
  private InvariantChecker() {}

  /** Checks a trace, whose events may be in any order. */
  public static ConformanceResult check(List<TraceEvent> trace, ConformanceLimits limits) {
    TraceIndex index = new TraceIndex(trace);
    ViolationLog violations = new ViolationLog();
    SingleResponseInvariant responses = new SingleResponseInvariant(index, limits, violations);
    SingleEffectInvariant effects = new SingleEffectInvariant(index, limits, violations);
    int unanswered = 0;
    int answeredTwice = 0;
    int repeatedEffects = 0;
    List<RequestSent> requests =
        index.requests().stream().sorted(Comparator.comparingLong(RequestSent::atMicros)).toList();
    for (RequestSent request : requests) {
      unanswered += responses.isUnanswered(request) ? 1 : 0;
      answeredTwice += responses.isAnsweredTwice(request) ? 1 : 0;
      repeatedEffects += effects.mayRepeatEffect(request) ? 1 : 0;
    }
    repeatedEffects += effects.countRepeatedEffects();
    int lateDrains = new DrainInvariant(index, limits, violations).countLateAttempts();
    int overloads = new SlowStartInvariant(index, limits, violations).countOverloadedStarts();
    int ceilings = new CeilingInvariant(index, limits, violations).countExceeded();
    return new ConformanceResult(
        requests.size(),
        unanswered,
        answeredTwice,
        lateDrains,
        repeatedEffects,
        overloads,
        ceilings,
        violations.lines());
  }
}
