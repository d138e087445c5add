package fawndock.runtime;

import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import java.util.Map;

/**
 * One attempt of a request at a server, whatever protocol it goes by. It ends exactly once, by the
 * first of what happens to it, and tells its host the end; what comes later is dropped. One
 * context.
 */
public abstract class InFlightAttempt {
  protected final PolicyRunner runner;
  protected final InFlightRequest request;

  /** Its number among the request's attempts, from 0. */
  public final int index;

  /** The server's id, as discovery has it. */
  public final String endpointId;

  private final long startedAtMicros;
  private Timers.Timer deadlineTimer;
  private CallResult result;

  protected InFlightAttempt(PolicyRunner host, InFlightRequest open, int number, String server) {
    this.runner = host;
    this.request = open;
    this.index = number;
    this.endpointId = server;
    this.startedAtMicros = host.clock().now();
  }

  /**
   * Starts it; it is abandoned at the time given unless it has ended or {@link #keep} was called
   * before.
   */
  final void start(long abandonAtMicros) {
    deadlineTimer =
        runner.timers().schedule(abandonAtMicros - startedAtMicros, this::onDeadlineExceeded);
    send(abandonAtMicros);
  }

  /** Connects and sends. An attempt that cannot be sent ends as {@link CallResult#UNUSED}. */
  protected abstract void send(long abandonAtMicros);

  /** The time to wait for it is up: it is to end. */
  protected abstract void onDeadlineExceeded();

  /** The gatekeeper calls it off: it is to end, unless its answer belongs to the client by now. */
  public abstract void cancel();

  /** The client has left; a streamed answer is to end. */
  public void onClientDisconnected() {
    // Nothing is streamed unless a protocol says so.
  }

  /** The answer belongs to the client from now on: the time to wait for it no longer counts. */
  protected final void cancelDeadline() {
    runner.timers().cancel(deadlineTimer);
  }

  /** How it ended, or null while it is out. */
  public final CallResult result() {
    return result;
  }

  protected final void complete(CallResult how) {
    complete(how, Map.of(), 0);
  }

  /**
   * Ends it; called again, does nothing.
   *
   * @param load the server's load report, by the names of {@link AttemptCompleted}
   * @param units the true units of the request where the server told them, else 0
   */
  protected final void complete(CallResult how, Map<String, Double> load, double units) {
    if (result != null) {
      return;
    }
    result = how;
    runner.timers().cancel(deadlineTimer);
    runner.onAttemptCompleted(request, this, runner.clock().now() - startedAtMicros, load, units);
  }
}
