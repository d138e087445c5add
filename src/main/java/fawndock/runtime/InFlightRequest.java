package fawndock.runtime;

import fawndock.policy.event.CallResult;
import java.util.ArrayList;
import java.util.List;

/** One request that the host has given to its gatekeeper and not yet forgotten. One context. */
public final class InFlightRequest {
  /** Where a request stands with its client. */
  public enum Stage {
    OPEN,
    STREAMING,
    COMPLETED
  }

  public final long id;
  public final ServerExchange exchange;
  public final List<InFlightAttempt> attempts = new ArrayList<>(1);
  Stage stage = Stage.OPEN;
  int activeAttemptCount;
  private boolean wasStreamed;
  Timers.Timer deadlineTimer;

  InFlightRequest(long id, ServerExchange exchange) {
    this.id = id;
    this.exchange = exchange;
  }

  /** Whether no answer is owed and none has begun. */
  public boolean isOpen() {
    return stage == Stage.OPEN;
  }

  /**
   * Whether the last attempt ended by what a server or the network said, rather than that time ran
   * out.
   */
  public boolean hasAttemptFailure() {
    CallResult last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).result();
    return last == CallResult.ERROR
        || last == CallResult.RESET
        || last == CallResult.CONNECT_FAILED
        || last == CallResult.SHED;
  }

  /** Whether its answer was streamed. */
  public boolean wasStreamed() {
    return wasStreamed;
  }

  void startStreaming() {
    stage = Stage.STREAMING;
    wasStreamed = true;
  }

  boolean isCompleted() {
    return stage == Stage.COMPLETED;
  }
}
