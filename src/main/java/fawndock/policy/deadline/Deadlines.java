package fawndock.policy.deadline;

import fawndock.policy.PendingRequest;

/**
 * Computes how long each step of a request may take, so that its client gets a response in time.
 * Instances are immutable.
 */
public final class Deadlines {
  /** Minimum time between the response and the client's deadline, in round trips. */
  private static final int ANSWER_MARGIN_ROUND_TRIPS = 2;

  /**
   * Minimum time between the response and the client's deadline, as a ratio of the time that the
   * client waits; it applies where it is longer than the round trips.
   */
  private static final double ANSWER_MARGIN_RATIO = 0.1;

  /**
   * Maximum queueing time, as a ratio of the latency objective; a standing queue makes all requests
   * late.
   */
  private static final double MAX_QUEUEING_RATIO = 0.25;

  /** Maximum wait for the counter, as a ratio of the latency objective. */
  private static final double MAX_COUNTER_WAIT_RATIO = 0.1;

  private final long answerMarginMicros;
  private final long counterTimeoutMicros;

  /**
   * Creates the deadlines from the round trip time to a client and the timeout of a counter call,
   * both in microseconds.
   */
  public Deadlines(long roundTripMicros, long counterTimeoutMicros) {
    this.answerMarginMicros = ANSWER_MARGIN_ROUND_TRIPS * roundTripMicros;
    this.counterTimeoutMicros = counterTimeoutMicros;
  }

  /**
   * Returns when a request must be answered at the latest, in microseconds. The margin before the
   * deadline allows for a busy CPU core; a request whose response would arrive within the margin
   * fails.
   */
  public long answerAtMicros(long deadlineAtMicros, long nowMicros) {
    double marginMicros =
        Math.max((double) answerMarginMicros, ANSWER_MARGIN_RATIO * (deadlineAtMicros - nowMicros));
    return Math.max(nowMicros, deadlineAtMicros - (long) marginMicros);
  }

  /** Returns when a request stops waiting for an endpoint, in microseconds. */
  public long queueTimeoutAtMicros(PendingRequest request) {
    long objectiveMicros = request.latencyObjectiveAtMicros() - request.arrivedAtMicros();
    return request.arrivedAtMicros() + (long) (MAX_QUEUEING_RATIO * objectiveMicros);
  }

  /** Returns how long a request waits for the counter, in microseconds. */
  public long counterWaitMicros(PendingRequest request) {
    long objectiveMicros = request.requestClass().config().latencyObjectiveMicros();
    return Math.min(counterTimeoutMicros, (long) (MAX_COUNTER_WAIT_RATIO * objectiveMicros));
  }
}
