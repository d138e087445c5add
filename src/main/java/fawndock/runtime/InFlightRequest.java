package fawndock.runtime;

import fawndock.policy.event.CallResult;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that has been reported to the policy, with its attempts. It is kept until the response
 * is complete and the last attempt has completed. Confined to one event loop.
 */
public final class InFlightRequest {
  /**
   * Progress of the response to the client. A request goes through the stages in this order; one
   * whose response is not streamed skips {@link #STREAMING}.
   */
  public enum Stage {
    /** The client has received nothing yet. */
    OPEN,
    /** A streamed response has begun. */
    STREAMING,
    /** The client has its whole response, or has disconnected. */
    COMPLETED
  }

  /** Id of the request, unique within this process. */
  public final long id;

  /** The client's side of the request. */
  public final ServerExchange exchange;

  /** All attempts in the order in which they were started. */
  public final List<InFlightAttempt> attempts = new ArrayList<>(1);

  /** Number of attempts that have not completed. */
  int activeAttemptCount;

  /** Fires at the client's deadline. */
  Timers.Timer deadlineTimer;

  /** The policy's timers for the request. */
  final List<Timers.Timer> policyTimers = new ArrayList<>(4);

  private Stage stage = Stage.OPEN;
  private boolean wasStreamed;

  InFlightRequest(long id, ServerExchange exchange) {
    this.id = id;
    this.exchange = exchange;
  }

  /** Returns whether the client waits for a response and none has begun. */
  public boolean isOpen() {
    return stage == Stage.OPEN;
  }

  boolean isStreaming() {
    return stage == Stage.STREAMING;
  }

  boolean isCompleted() {
    return stage == Stage.COMPLETED;
  }

  /** Returns whether the response was streamed. */
  public boolean wasStreamed() {
    return wasStreamed;
  }

  /**
   * Marks the beginning of a streamed response.
   *
   * @throws IllegalStateException unless the request is open
   */
  void startStreaming() {
    checkTransition(stage == Stage.OPEN, Stage.STREAMING);
    stage = Stage.STREAMING;
    wasStreamed = true;
  }

  /**
   * Marks the end of the response or the disconnection of the client.
   *
   * @throws IllegalStateException when the request has already completed
   */
  void complete() {
    checkTransition(stage != Stage.COMPLETED, Stage.COMPLETED);
    stage = Stage.COMPLETED;
  }

  private void checkTransition(boolean isAllowed, Stage next) {
    if (!isAllowed) {
      throw new IllegalStateException("request " + id + " cannot go from " + stage + " to " + next);
    }
  }

  /**
   * Returns whether the last attempt failed because of the endpoint or the network, and not because
   * of its deadline.
   */
  public boolean hasLastAttemptFailed() {
    CallResult result = lastResult();
    return result == CallResult.ERROR
        || result == CallResult.RESET
        || result == CallResult.CONNECT_FAILED
        || result == CallResult.SHED;
  }

  /** Returns the result of the last attempt; null when there is no attempt or it is in flight. */
  CallResult lastResult() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).result();
  }
}
