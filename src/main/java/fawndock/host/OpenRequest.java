package fawndock.host;

import fawndock.Gatekeeper.Result;
import java.util.ArrayList;
import java.util.List;

/** One request that the host has given to its gatekeeper and not yet forgotten. One context. */
public final class OpenRequest {
  /** Where a request stands with its client. */
  public enum Stage {
    OPEN,
    STREAMING,
    OVER
  }

  public final long id;
  public final Exchange exchange;
  public final List<OpenAttempt> attempts = new ArrayList<>(1);
  Stage stage = Stage.OPEN;
  int out;
  private boolean streamed;
  Alarms.Alarm backstop;

  OpenRequest(long id, Exchange exchange) {
    this.id = id;
    this.exchange = exchange;
  }

  /** Whether no answer is owed and none has begun. */
  public boolean open() {
    return stage == Stage.OPEN;
  }

  /**
   * Whether the last attempt ended by what a server or the network said, rather than that time ran
   * out.
   */
  public boolean answered() {
    Result last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).result();
    return last == Result.ERROR
        || last == Result.RESET
        || last == Result.CONNECT_FAILED
        || last == Result.SHED;
  }

  /** Whether its answer was streamed. */
  public boolean streamed() {
    return streamed;
  }

  void stream() {
    stage = Stage.STREAMING;
    streamed = true;
  }

  boolean over() {
    return stage == Stage.OVER;
  }
}
