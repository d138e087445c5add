package fawndock.simulatoradapter;

import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.PolicyTimer.AnswerDeadline;
import fawndock.policy.event.PolicyTimer.CounterWaitTimeout;
import fawndock.policy.event.PolicyTimer.FlushPendingAdds;
import fawndock.policy.event.PolicyTimer.LatencyObjectiveExceeded;
import fawndock.policy.event.PolicyTimer.QueueTimeout;
import fawndock.policy.event.PolicyTimer.RewatchEndpoints;
import fawndock.policy.event.PolicyTimer.UnknownTimer;

/** The text that stands for a policy's timer in the simulator's line protocol ({@code cookie}). */
final class TimerCodec {
  private static final String ANSWER_DEADLINE = "end:";
  private static final String QUEUE_TIMEOUT = "hold:";
  private static final String LATENCY_OBJECTIVE_EXCEEDED = "late:";
  private static final String COUNTER_WAIT_TIMEOUT = "ask:";
  private static final String FLUSH_PENDING_ADDS = "owed:";
  private static final String REWATCH_ENDPOINTS = "watch:";
  private static final int MAX_REQUEST_ID_LENGTH = 18;

  private TimerCodec() {}

  static String encode(PolicyTimer timer) {
    if (timer instanceof AnswerDeadline t) {
      return ANSWER_DEADLINE + t.requestId();
    } else if (timer instanceof QueueTimeout t) {
      return QUEUE_TIMEOUT + t.requestId();
    } else if (timer instanceof LatencyObjectiveExceeded t) {
      return LATENCY_OBJECTIVE_EXCEEDED + t.requestId();
    } else if (timer instanceof CounterWaitTimeout t) {
      return COUNTER_WAIT_TIMEOUT + t.requestId();
    } else if (timer instanceof FlushPendingAdds t) {
      return FLUSH_PENDING_ADDS + t.counterName();
    } else if (timer instanceof RewatchEndpoints) {
      return REWATCH_ENDPOINTS;
    }
    return ((UnknownTimer) timer).text();
  }

  /** The timer that a text stands for; {@link UnknownTimer} for any text that is not ours. */
  static PolicyTimer decode(String text) {
    if (text.equals(REWATCH_ENDPOINTS)) {
      return new RewatchEndpoints();
    }
    int end = text.indexOf(':') + 1;
    String kind = text.substring(0, end);
    String rest = text.substring(end);
    if (kind.equals(FLUSH_PENDING_ADDS)) {
      return new FlushPendingAdds(rest);
    }
    if (rest.isEmpty() || rest.length() > MAX_REQUEST_ID_LENGTH) {
      return new UnknownTimer(text);
    }
    try {
      long requestId = Long.parseLong(rest);
      return switch (kind) {
        case ANSWER_DEADLINE -> new AnswerDeadline(requestId);
        case QUEUE_TIMEOUT -> new QueueTimeout(requestId);
        case LATENCY_OBJECTIVE_EXCEEDED -> new LatencyObjectiveExceeded(requestId);
        case COUNTER_WAIT_TIMEOUT -> new CounterWaitTimeout(requestId);
        default -> new UnknownTimer(text);
      };
    } catch (NumberFormatException e) {
      return new UnknownTimer(text); // A cookie that we did not write is to be ignored.
    }
  }
}
