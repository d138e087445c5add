package fawndock.policy.deadline;

import fawndock.policy.PendingRequest;

/** How long each step of a request may take, so that its client is answered in time. */
public final class Deadlines {
  /** Round trips before the client's deadline at which it is answered at the latest. */
  private static final int ANSWER_MARGIN_ROUND_TRIPS = 2;

  /** Answer margin as a ratio of the client's time, where that is longer than the round trips. */
  private static final double ANSWER_MARGIN_RATIO = 0.1;

  /** Longest queueing as a ratio of the latency objective: a standing queue makes all late. */
  private static final double MAX_QUEUEING_RATIO = 0.25;

  /** Longest wait for the counter, as a ratio of the latency objective. */
  private static final double MAX_COUNTER_WAIT_RATIO = 0.1;

  private final long answerMarginMicros;
  private final long counterTimeoutMicros;

  /** The round trip is that to a client, in microseconds. */
  public Deadlines(long roundTripMicros, long counterTimeoutMicros) {
    this.answerMarginMicros = ANSWER_MARGIN_ROUND_TRIPS * roundTripMicros;
    this.counterTimeoutMicros = counterTimeoutMicros;
  }

  /**
   * When a request is answered at the latest. The margin covers a busy core; a request whose answer
   * would have come within it fails.
   */
  public long answerAtMicros(long deadlineAtMicros, long nowMicros) {
    double marginMicros =
        Math.max((double) answerMarginMicros, ANSWER_MARGIN_RATIO * (deadlineAtMicros - nowMicros));
    return Math.max(nowMicros, deadlineAtMicros - (long) marginMicros);
  }

  /** When a request stops waiting for an endpoint. */
  public long queueTimeoutAtMicros(PendingRequest request) {
    long objectiveMicros = request.latencyObjectiveAtMicros() - request.arrivedAtMicros();
    return request.arrivedAtMicros() + (long) (MAX_QUEUEING_RATIO * objectiveMicros);
  }

  /** For how long a request waits for the counter. */
  public long counterWaitMicros(PendingRequest request) {
    long objectiveMicros = request.requestClass().config().latencyObjectiveMicros();
    return Math.min(counterTimeoutMicros, (long) (MAX_COUNTER_WAIT_RATIO * objectiveMicros));
  }
}
