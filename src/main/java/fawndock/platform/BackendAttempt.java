package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.PolicyRunner;

/**
 * One attempt at a backend, on a connection that it uses exclusively: abandoning a sent attempt
 * closes the connection. The backend cannot have run the request before its last byte was written.
 * Confined to one event loop.
 */
final class BackendAttempt extends InFlightAttempt {
  /**
   * Number of connections that may break before the request is sent; the next one fails the
   * attempt.
   */
  private static final int MAX_RECONNECTS = 3;

  /** Time that an attempt waits for a client that sends more than can be received at once. */
  private static final long MAX_INPUT_WAIT_MICROS = 1_000_000;

  private static final long INPUT_CHECK_INTERVAL_MICROS = 1_000;

  private final BackendConnectionPools pools;
  private final ClientExchange exchange;
  private PooledConnection connection;
  private int reconnectCount;
  private boolean isWriteStarted;
  private boolean isWriteComplete;
  private long deadlineMicros;

  /** Time at which the current connection became available. */
  private long availableSinceMicros;

  BackendAttempt(
      PolicyRunner runner,
      InFlightRequest request,
      int index,
      String endpointId,
      BackendConnectionPools pools) {
    super(runner, request, index, endpointId);
    this.pools = pools;
    this.exchange = (ClientExchange) request.exchange;
  }

  @Override
  protected void send(long deadlineMicros) {
    this.deadlineMicros = deadlineMicros;
    pools.acquire(endpointId, this);
  }

  /** Completes the attempt as not sent, because the endpoint's address is unknown. */
  void onUnknownEndpoint() {
    finish(CallResult.NOT_SENT);
  }

  /**
   * Uses a connection that is available.
   *
   * @return false if the attempt has already completed and does not use the connection
   */
  boolean onConnectionAvailable(PooledConnection available) {
    if (result() != null) {
      return false;
    }
    connection = available;
    availableSinceMicros = runner.clock().nowMicros();
    // The command is written after all reads of this event loop turn. By then a close by the client
    // or the backend, or a duplicate response of the backend, has been noticed.
    pools.runAfterReads(this::write);
    return true;
  }

  private void write() {
    if (result() != null || connection == null || isWriteStarted) {
      return;
    }
    if (mustWaitForClientInput()) {
      runner.timers().schedule(INPUT_CHECK_INTERVAL_MICROS, () -> pools.runAfterReads(this::write));
      return;
    }
    long timeoutMillis = (deadlineMicros - runner.clock().nowMicros()) / 1_000;
    // The endpoint may have begun to drain, or the time in which a retry is safe may have passed,
    // while the connection was opened. Nothing has been sent, so the policy decides again.
    if (timeoutMillis <= 0 || !maySend() || pools.isUnavailable(endpointId)) {
      abandon(CallResult.NOT_SENT);
      return;
    }
    isWriteStarted = true;
    exchange.markSent();
    connection.write(exchange.command().encodeForEndpoint(timeoutMillis), this::onWritten);
  }

  /** Returns whether the client may have left behind bytes that have not been received yet. */
  private boolean mustWaitForClientInput() {
    return exchange.isInputBacklogged()
        && runner.clock().nowMicros() - availableSinceMicros < MAX_INPUT_WAIT_MICROS;
  }

  private void onWritten(boolean isComplete) {
    isWriteComplete |= isComplete;
    if (!isComplete) {
      onConnectionClosed();
    }
  }

  /** Returns whether any byte of the command may have been handed to the network. */
  boolean isWriteStarted() {
    return isWriteStarted;
  }

  /** Acquires another connection, because this one broke before anything was sent on it. */
  private void reconnect() {
    connection = null;
    if (++reconnectCount > MAX_RECONNECTS) {
      onConnectFailed();
    } else if (result() == null) {
      pools.acquire(endpointId, this);
    }
  }

  /** Completes the attempt as failed to connect, because no connection could be opened. */
  void onConnectFailed() {
    finish(CallResult.CONNECT_FAILED);
  }

  void onReply(BackendReply reply) {
    if (reply.result() == CallResult.OK && result() == null) {
      runner.deliverResponse(request, this, () -> exchange.respondValue(reply.value()));
    }
    finish(reply.result(), reply.loadReport(), reply.unitsUsed());
  }

  /** Handles bytes that are not a valid reply; a command that was sent may have run. */
  void onProtocolError() {
    if (isWriteStarted) {
      finish(CallResult.ERROR);
    } else {
      reconnect();
    }
  }

  void onConnectionClosed() {
    if (isWriteStarted) {
      finish(isWriteComplete ? CallResult.RESET : CallResult.CONNECT_FAILED);
    } else {
      reconnect();
    }
  }

  @Override
  protected void onSendDeadlineExceeded() {
    if (!isWriteComplete) {
      abandon(isWriteStarted ? CallResult.CONNECT_FAILED : CallResult.NOT_SENT);
    }
  }

  @Override
  protected void onDeadlineExceeded() {
    abandon(isWriteComplete ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED);
  }

  @Override
  public void cancel() {
    abandon(isWriteStarted ? CallResult.CANCELLED : CallResult.NOT_SENT);
  }

  /**
   * Sends nothing for a client that has disconnected, even where the settings do not cancel
   * attempts.
   */
  @Override
  public void onClientDisconnected() {
    if (!isWriteStarted) {
      abandon(CallResult.NOT_SENT);
    }
  }

  private void abandon(CallResult outcome) {
    if (result() != null) {
      return;
    }
    if (connection != null && isWriteStarted) {
      connection.abort();
    } else if (connection != null) {
      connection.release();
    }
    finish(outcome);
  }

  private void finish(CallResult outcome) {
    finish(outcome, LoadReport.NONE, 0);
  }

  private void finish(CallResult outcome, LoadReport loadReport, double unitsUsed) {
    if (result() == null) {
      pools.activity().recordAttempt(endpointId, outcome);
      complete(outcome, loadReport, unitsUsed);
    }
  }
}
