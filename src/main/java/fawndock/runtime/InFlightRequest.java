package fawndock.runtime;

import fawndock.policy.event.CallResult;
import java.util.ArrayList;
import java.util.List;

/**
 * One request that the policy knows of, with its attempts, until the last of them has completed.
 * Confined to one event loop.
 */
public final class InFlightRequest {
  /** Where a request stands with its client; stages are passed in this order only. */
  public enum Stage {
    /** The client has received nothing yet. */
    OPEN,
    /** A streamed response has begun. */
    STREAMING,
    /** The client has its whole response, or has disconnected. */
    COMPLETED
  }

  /** Number of the request within this process. */
  public final long id;

  /** The client's side of the request. */
  public final ServerExchange exchange;

  /** All attempts in the order in which they were started. */
  public final List<InFlightAttempt> attempts = new ArrayList<>(1);

  /** Attempts that have not completed. */
  int activeAttemptCount;

  /** Fires at the client's deadline. */
  Timers.Timer deadlineTimer;

  private Stage stage = Stage.OPEN;
  private boolean wasStreamed;

  InFlightRequest(long id, ServerExchange exchange) {
    this.id = id;
    this.exchange = exchange;
  }

  /** Returns whether the client still waits for its response and none has begun. */
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
   * Marks the end of the response, or that the client has disconnected.
   *
   * @throws IllegalStateException when the request has completed before
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

  /** Returns whether the last attempt failed by the endpoint or network, not by its deadline. */
  public boolean hasLastAttemptFailed() {
    CallResult result = lastResult();
    return result == CallResult.ERROR
        || result == CallResult.RESET
        || result == CallResult.CONNECT_FAILED
        || result == CallResult.SHED;
  }

  /** Returns the outcome of the last attempt, or null when there is none. */
  CallResult lastResult() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).result();
  }
}
