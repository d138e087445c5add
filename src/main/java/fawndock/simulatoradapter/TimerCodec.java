package fawndock.simulatoradapter;

import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.PolicyTimer.AnswerDeadline;
import fawndock.policy.event.PolicyTimer.CounterWaitTimeout;
import fawndock.policy.event.PolicyTimer.FlushPendingAdds;
import fawndock.policy.event.PolicyTimer.LatencyObjectiveExceeded;
import fawndock.policy.event.PolicyTimer.QueueTimeout;
import fawndock.policy.event.PolicyTimer.RewatchEndpoints;
import fawndock.policy.event.PolicyTimer.UnknownTimer;

/**
 * Encodes timers of the policy as texts of the simulator's line protocol ({@code cookie}) and
 * decodes them. Stateless.
 */
final class TimerCodec {
  private static final String ANSWER_DEADLINE_PREFIX = "end:";
  private static final String QUEUE_TIMEOUT_PREFIX = "hold:";
  private static final String LATENCY_OBJECTIVE_EXCEEDED_PREFIX = "late:";
  private static final String COUNTER_WAIT_TIMEOUT_PREFIX = "ask:";
  private static final String FLUSH_PENDING_ADDS_PREFIX = "owed:";
  private static final String REWATCH_ENDPOINTS = "watch:";
  private static final int MAX_REQUEST_ID_LENGTH = 18;

  private TimerCodec() {}

  static String encode(PolicyTimer timer) {
    if (timer instanceof AnswerDeadline t) {
      return ANSWER_DEADLINE_PREFIX + t.requestId();
    } else if (timer instanceof QueueTimeout t) {
      return QUEUE_TIMEOUT_PREFIX + t.requestId();
    } else if (timer instanceof LatencyObjectiveExceeded t) {
      return LATENCY_OBJECTIVE_EXCEEDED_PREFIX + t.requestId();
    } else if (timer instanceof CounterWaitTimeout t) {
      return COUNTER_WAIT_TIMEOUT_PREFIX + t.requestId();
    } else if (timer instanceof FlushPendingAdds t) {
      return FLUSH_PENDING_ADDS_PREFIX + t.counterName();
    } else if (timer instanceof RewatchEndpoints) {
      return REWATCH_ENDPOINTS;
    }
    return ((UnknownTimer) timer).text();
  }

  /** Returns the timer that a text encodes; {@link UnknownTimer} for any other text. */
  static PolicyTimer decode(String text) {
    if (text.equals(REWATCH_ENDPOINTS)) {
      return new RewatchEndpoints();
    }
    int prefixEnd = text.indexOf(':') + 1;
    String prefix = text.substring(0, prefixEnd);
    String argument = text.substring(prefixEnd);
    if (prefix.equals(FLUSH_PENDING_ADDS_PREFIX)) {
      return new FlushPendingAdds(argument);
    }
    if (argument.isEmpty() || argument.length() > MAX_REQUEST_ID_LENGTH) {
      return new UnknownTimer(text);
    }
    try {
      long requestId = Long.parseLong(argument);
      return switch (prefix) {
        case ANSWER_DEADLINE_PREFIX -> new AnswerDeadline(requestId);
        case QUEUE_TIMEOUT_PREFIX -> new QueueTimeout(requestId);
        case LATENCY_OBJECTIVE_EXCEEDED_PREFIX -> new LatencyObjectiveExceeded(requestId);
        case COUNTER_WAIT_TIMEOUT_PREFIX -> new CounterWaitTimeout(requestId);
        default -> new UnknownTimer(text);
      };
    } catch (NumberFormatException e) {
      return new UnknownTimer(text); // A text that encode() did not produce must be ignored.
    }
  }
}
