package fawndock.runtime;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;

/**
 * One attempt of a request at an endpoint, independent of the protocol. It completes exactly once,
 * with the first outcome; later outcomes are ignored. Confined to one event loop.
 */
public abstract class InFlightAttempt {
  protected final PolicyRunner runner;
  protected final InFlightRequest request;

  /** Index among the request's attempts, starting at 0. */
  public final int index;

  /** The endpoint's id, as discovery reports it. */
  public final String endpointId;

  private final long startedAtMicros;
  private Timers.Timer deadlineTimer;
  private Timers.Timer sendDeadlineTimer;
  private long sendDeadlineMicros;
  private CallResult result;

  protected InFlightAttempt(
      PolicyRunner runner, InFlightRequest request, int index, String endpointId) {
    this.runner = runner;
    this.request = request;
    this.index = index;
    this.endpointId = endpointId;
    this.startedAtMicros = runner.clock().nowMicros();
  }

  /**
   * Starts the attempt. At the deadline {@link #onDeadlineExceeded} is called, unless the attempt
   * has completed or {@link #cancelDeadline} was called before.
   *
   * @param deadlineMicros the deadline on the runner's clock
   * @param sendDeadlineMicros the time until which the request may be sent, on the same clock
   */
  final void start(long deadlineMicros, long sendDeadlineMicros) {
    this.sendDeadlineMicros = sendDeadlineMicros;
    deadlineTimer =
        runner.timers().schedule(deadlineMicros - startedAtMicros, this::onDeadlineExceeded);
    if (sendDeadlineMicros < deadlineMicros) {
      sendDeadlineTimer =
          runner
              .timers()
              .schedule(sendDeadlineMicros - startedAtMicros, this::onSendDeadlineExceeded);
    }
    send(deadlineMicros);
  }

  /**
   * Connects to the endpoint and sends the request. An attempt that cannot be sent completes as
   * {@link CallResult#NOT_SENT}.
   *
   * @param deadlineMicros the deadline on the runner's clock
   */
  protected abstract void send(long deadlineMicros);

  /**
   * Returns whether the request may still be sent. What the policy decided when it started the
   * attempt may no longer hold once a connection is available: an implementation must check this
   * immediately before it sends.
   */
  protected final boolean maySend() {
    return request.isOpen() && runner.clock().nowMicros() < sendDeadlineMicros;
  }

  /** Completes the attempt unless its request has been sent completely. */
  protected abstract void onSendDeadlineExceeded();

  /** Completes the attempt because its deadline has passed. */
  protected abstract void onDeadlineExceeded();

  /**
   * Cancels the attempt for the policy, unless its response is already being passed to the client.
   */
  public abstract void cancel();

  /** Ends a response that is being streamed, because the client has disconnected. */
  public void onClientDisconnected() {
    // Protocols without streaming have nothing to end.
  }

  /** Cancels the deadline timer, because the response is passed to the client from now on. */
  protected final void cancelDeadline() {
    runner.timers().cancel(deadlineTimer);
  }

  /** Returns the outcome, or null while the attempt is in flight. */
  public final CallResult result() {
    return result;
  }

  /** Completes the attempt without a load report; does nothing when it has already completed. */
  protected final void complete(CallResult outcome) {
    complete(outcome, LoadReport.NONE, 0);
  }

  /**
   * Completes the attempt; does nothing when it has already completed.
   *
   * @param load the endpoint's load report
   * @param units the request's actual cost in units when the endpoint reported it, else 0
   */
  protected final void complete(CallResult outcome, LoadReport load, double units) {
    if (result != null) {
      return;
    }
    result = outcome;
    runner.timers().cancel(deadlineTimer);
    runner.timers().cancel(sendDeadlineTimer);
    long durationMicros = runner.clock().nowMicros() - startedAtMicros;
    runner.onAttemptCompleted(request, this, durationMicros, load, units);
  }
}
