package fawndock.platform;

import io.vertx.core.Vertx;

/**
 * Shuts a gateway down within the time that the platform allows: serves for most of the longest
 * deadline, then drains connections, and finally fails the requests still in flight. Confined to
 * one event loop.
 */
final class GracefulShutdown {
  /**
   * Upper bound that the platform puts on the longest deadline when it computes the shutdown time.
   */
  private static final long MAX_DEADLINE_MICROS = 3_000_000;

  /** Share of the longest deadline during which new connections and requests are still accepted. */
  private static final double SERVING_RATIO = 0.9;

  /**
   * Minimum time for which new connections may still arrive after the signal, whatever the
   * deadline.
   */
  private static final long MIN_SERVING_MICROS = 450_000;

  /**
   * Time after the longest deadline for the last responses. SIGKILL follows after a small
   * additional reserve.
   */
  private static final long FAIL_DELAY_MICROS = 450_000;

  /** Time for the last responses and closes to reach the clients. */
  private static final long FINAL_FLUSH_MICROS = 100_000;

  private final Vertx vertx;
  private final ClientListener clientListener;
  private final long deadlineMicros;
  private final Runnable finishedListener;

  /**
   * Creates a shutdown that is not started.
   *
   * @param longestDeadlineMicros the longest deadline of any request class
   * @param finishedListener called when all clients have disconnected or time is up; may be called
   *     twice
   */
  GracefulShutdown(
      Vertx vertx,
      ClientListener clientListener,
      long longestDeadlineMicros,
      Runnable finishedListener) {
    this.vertx = vertx;
    this.clientListener = clientListener;
    this.deadlineMicros = Math.min(MAX_DEADLINE_MICROS, longestDeadlineMicros);
    this.finishedListener = finishedListener;
  }

  /** Starts the shutdown. Call this once. */
  void start() {
    long servingMicros = Math.max(MIN_SERVING_MICROS, (long) (SERVING_RATIO * deadlineMicros));
    schedule(servingMicros, () -> clientListener.drain(finishedListener));
    schedule(deadlineMicros + FAIL_DELAY_MICROS, this::failRequestsInFlight);
  }

  /**
   * Fails the requests in flight, because an error reply serves clients better than a reset at
   * SIGKILL.
   */
  private void failRequestsInFlight() {
    clientListener.failRequestsInFlight();
    schedule(FINAL_FLUSH_MICROS, finishedListener);
  }

  private void schedule(long delayMicros, Runnable task) {
    vertx.setTimer(delayMicros / 1_000, id -> task.run());
  }
}
