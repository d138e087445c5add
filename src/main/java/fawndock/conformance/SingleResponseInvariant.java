package fawndock.conformance;

import fawndock.conformance.TraceEvent.ClientDisconnected;
import fawndock.conformance.TraceEvent.ConnectionLost;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import java.util.List;

/**
 * Rule 1: each request gets one final response before its deadline, and no attempt is forwarded
 * after it. A request is excused when its client disconnected first or when its gateway was killed
 * while it was in flight.
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

  /** Whether a request had no response in time without an excuse. */
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

  /** Whether a request had a second response, or an attempt after its response. */
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
    if (trace.attempts(request.requestId()).stream().anyMatch(a -> a.atMicros() > afterMicros)) {
      violations.add(request.requestId() + " was forwarded after its answer");
      return true;
    }
    return false;
  }
}
