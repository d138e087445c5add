package fawndock.conformance;

import fawndock.conformance.TraceEvent.ClientDisconnected;
import fawndock.conformance.TraceEvent.ConnectionLost;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import java.util.List;

/**
 * Rule 1: each request receives exactly one final response before its deadline, and no attempt is
 * forwarded after the response. A request without a response is no violation when its client
 * disconnected first or its gateway was killed while the request was in flight. Not thread-safe.
 */
final class SingleResponseInvariant {
  private final TraceIndex trace;
  private final ConformanceLimits limits;
  private final ViolationLog violations;

  SingleResponseInvariant(TraceIndex trace, ConformanceLimits limits, ViolationLog violations) {
    this.trace = trace;
    this.limits = limits;
    this.violations = violations;
  }

  /**
   * Returns whether a request received no response in time and no exception to the rule applies.
   */
  boolean isUnanswered(RequestSent request) {
    List<ResponseReceived> responses = trace.responses(request.requestId());
    long limitMicros =
        request.deadlineAtMicros() + limits.rules().answerGraceMicros() + limits.toleranceMicros();
    if (responses.isEmpty() ? isExcused(request, limitMicros) : isInTime(responses, limitMicros)) {
      return false;
    }
    violations.add(
        request.requestId()
            + " ("
            + request.requestClass()
            + ", gateway "
            + request.gatewayIndex()
            + ") "
            + (responses.isEmpty()
                ? "had no answer"
                : "was answered "
                    + (responses.get(0).atMicros() - request.deadlineAtMicros())
                    + " us too late"));
    return true;
  }

  private static boolean isInTime(List<ResponseReceived> responses, long limitMicros) {
    return responses.get(0).atMicros() <= limitMicros;
  }

  private boolean isExcused(RequestSent request, long limitMicros) {
    TraceEvent disconnect = trace.disconnect(request.requestId());
    if (disconnect instanceof ClientDisconnected) {
      return disconnect.atMicros() <= limitMicros;
    }
    return disconnect instanceof ConnectionLost
        && trace.wasKilledBetween(
            request.gatewayIndex(),
            request.atMicros() - limits.toleranceMicros(),
            disconnect.atMicros() + limits.toleranceMicros());
  }

  /** Returns whether a request had a second response or an attempt after its response. */
  boolean isAnsweredTwice(RequestSent request) {
    List<ResponseReceived> responses = trace.responses(request.requestId());
    if (responses.size() > 1) {
      violations.add(request.requestId() + " had " + responses.size() + " answers");
      return true;
    }
    if (responses.isEmpty()) {
      return false;
    }
    long afterMicros = responses.get(0).atMicros() + limits.toleranceMicros();
    if (trace.attempts(request.requestId()).stream()
        .anyMatch(attempt -> attempt.atMicros() > afterMicros)) {
      violations.add(request.requestId() + " was forwarded after its answer");
      return true;
    }
    return false;
  }
}
