package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.RequestSent;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;

/**
 * Rule 3: once a gateway has been notified that an endpoint is draining and the grace period has
 * elapsed, the endpoint receives no new requests from that gateway. Not thread-safe.
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

  /** Returns the number of attempts that reached a draining endpoint after the grace period. */
  int countLateAttempts() {
    int lateCount = 0;
    for (Map.Entry<String, List<AttemptArrived>> entry : trace.attemptsByRequest().entrySet()) {
      RequestSent request = trace.request(entry.getKey());
      if (request == null) {
        continue;
      }
      for (AttemptArrived attempt : entry.getValue()) {
        lateCount += isLate(request, attempt) ? 1 : 0;
      }
    }
    return lateCount;
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

  /**
   * Returns the time of the earliest announcement in the uninterrupted series of non-running ones
   * that ends with the last announcement.
   */
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
