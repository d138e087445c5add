package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.EndpointStarted;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.policy.config.ServiceRules;
import java.util.ArrayDeque;
import java.util.NavigableMap;

/**
 * Rule 4: in no sliding window of the configured length does an endpoint that is warming up receive
 * more than the configured multiple of its capacity at the end of the window. An overload counts
 * only if at least two thirds of the window's attempts came from gateways that had been notified of
 * the start. Not thread-safe.
 */
final class SlowStartInvariant {
  /** Standard deviations by which a Poisson-distributed count may exceed the allowed count. */
  private static final int ALLOWED_DEVIATIONS = 3;

  private final TraceIndex trace;
  private final ServiceRules rules;
  private final long toleranceMicros;
  private final ViolationLog violations;

  SlowStartInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.rules = limits.rules();
    this.toleranceMicros = limits.toleranceMicros();
    this.violations = violations;
  }

  /** Returns the number of endpoint starts with an overload during warm-up. */
  int countOverloadedStarts() {
    int overloadedCount = 0;
    for (EndpointStarted start : trace.endpointStarts()) {
      overloadedCount += start.isWarmingUp() && isOverloaded(start) ? 1 : 0;
    }
    return overloadedCount;
  }

  private boolean isOverloaded(EndpointStarted start) {
    ArrayDeque<AttemptArrived> window = new ArrayDeque<>();
    for (AttemptArrived attempt : trace.attemptsAt(start.endpointId())) {
      long ageMicros = attempt.atMicros() - start.atMicros();
      if (attempt.incarnation() != start.incarnation()
          || ageMicros < 0
          || ageMicros >= rules.slowStartMicros()) {
        continue;
      }
      window.add(attempt);
      while (window.peek().atMicros()
          < attempt.atMicros() - rules.slowStartOverloadWindowMicros()) {
        window.poll();
      }
      double allowed = allowedAttempts(start, ageMicros);
      if (window.size() > allowed + ALLOWED_DEVIATIONS * Math.sqrt(allowed)
          && isKnownToMostSenders(window, start)) {
        violations.add(
            start.endpointId()
                + " got "
                + window.size()
                + " in a window that allows "
                + Math.round(allowed)
                + ", "
                + ageMicros
                + " us after its cold start");
        return true;
      }
    }
    return false;
  }

  private double allowedAttempts(EndpointStarted start, long ageMicros) {
    double slowStartFactor =
        rules.slowStartInitialRatio()
            + (1 - rules.slowStartInitialRatio()) * ageMicros / rules.slowStartMicros();
    return rules.slowStartOverloadRatio()
        * slowStartFactor
        * start.attemptsPerSecond()
        * rules.slowStartOverloadWindowMicros()
        / 1e6;
  }

  private boolean isKnownToMostSenders(ArrayDeque<AttemptArrived> window, EndpointStarted start) {
    long knownCount = window.stream().filter(attempt -> isStartKnown(attempt, start)).count();
    return knownCount * 3 >= window.size() * 2L;
  }

  private boolean isStartKnown(AttemptArrived attempt, EndpointStarted start) {
    RequestSent request = trace.request(attempt.requestId());
    NavigableMap<Long, EndpointAnnounced> announcements =
        request == null ? null : trace.announcements(request.gatewayIndex(), attempt.endpointId());
    return announcements != null
        && announcements.headMap(attempt.atMicros(), true).values().stream()
            .anyMatch(
                announcement ->
                    announcement.startedAtMicros() >= start.atMicros() - toleranceMicros);
  }
}
