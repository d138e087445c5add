package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.RequestSent;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;

/**
 * Rule 3: an endpoint gets no new request from a gateway later than the drain grace after that
 * gateway was notified that the endpoint is draining.
 */
final class DrainInvariant {
  private final TraceIndex trace;
  private final ViolationLog violations;
  private final long graceMicros;

  DrainInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.violations = violations;
    this.graceMicros = limits.rules().drainGraceMicros() + limits.toleranceMicros();
  }

  /** How many attempts reached a draining endpoint too late. */
  int countLateAttempts() {
    int late = 0;
    for (Map.Entry<String, List<AttemptArrived>> each : trace.attemptsByRequest().entrySet()) {
      RequestSent request = trace.request(each.getKey());
      if (request == null) {
        continue;
      }
      for (AttemptArrived attempt : each.getValue()) {
        late += isLate(request, attempt) ? 1 : 0;
      }
    }
    return late;
  }

  private boolean isLate(RequestSent request, AttemptArrived attempt) {
    NavigableMap<Long, EndpointAnnounced> announcements =
        trace.announcements(request.gatewayIndex(), attempt.endpointId());
    if (announcements == null) {
      return false;
    }
    Map.Entry<Long, EndpointAnnounced> last = announcements.floorEntry(attempt.atMicros());
    if (last == null || last.getValue().isRunning()) {
      return false;
    }
    long drainingSinceMicros = drainingSince(announcements, last.getKey());
    if (attempt.atMicros() <= drainingSinceMicros + graceMicros) {
      return false;
    }
    violations.add(
        attempt.requestId()
            + " reached "
            + attempt.endpointId()
            + " "
            + (attempt.atMicros() - drainingSinceMicros)
            + " us after gateway "
            + request.gatewayIndex()
            + " was notified that it drains");
    return true;
  }

  /** The first of the unbroken announcements up to the last one that do not say running. */
  private static long drainingSince(
      NavigableMap<Long, EndpointAnnounced> announcements, long lastMicros) {
    long sinceMicros = lastMicros;
    for (EndpointAnnounced earlier :
        announcements.headMap(lastMicros, true).descendingMap().values()) {
      if (earlier.isRunning()) {
        break;
      }
      sinceMicros = earlier.atMicros();
    }
    return sinceMicros;
  }
}
