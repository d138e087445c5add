package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.PolicyRunner;

/**
 * One attempt at a backend, on a connection that carries nothing else meanwhile: abandoning the
 * attempt closes the connection. An attempt cannot have run before its last byte was written.
 * Confined to one event loop.
 */
final class BackendAttempt extends InFlightAttempt {
  /** Connections that may break under the attempt before it is sent. */
  private static final int MAX_RECONNECTS = 3;

  private final BackendConnectionPools pools;
  private final ClientExchange exchange;
  private PooledConnection connection;
  private int reconnects;
  private boolean isSent;
  private boolean isWritten;
  private long deadlineMicros;

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

  /** The endpoint's address is not known. */
  void onUnknownEndpoint() {
    finish(CallResult.NOT_SENT);
  }

  /**
   * A connection is available.
   *
   * @return whether the attempt still wants it
   */
  boolean onConnectionAvailable(PooledConnection available) {
    if (result() != null) {
      return false;
    }
    connection = available;
    // Written after all that this turn has read: by then it is seen when the client or the backend
    // has closed its connection, or when the backend has sent a response twice.
    pools.runAfterReads(this::write);
    return true;
  }

  private void write() {
    if (result() != null || connection == null || isSent) {
      return;
    }
    long timeoutMillis = (deadlineMicros - runner.clock().nowMicros()) / 1_000;
    // The endpoint may have been reported as draining in the turn in which it was chosen. Nothing
    // has been sent, so that the policy may choose another one.
    if (timeoutMillis <= 0 || pools.isUnavailable(endpointId)) {
      abandon(CallResult.NOT_SENT);
      return;
    }
    isSent = true;
    connection.write(exchange.command().encodeForEndpoint(timeoutMillis), this::onWritten);
  }

  private void onWritten(boolean isComplete) {
    isWritten |= isComplete;
    if (!isComplete) {
      onConnectionClosed();
    }
  }

  /** Returns whether any of the command may have been handed to the network. */
  boolean isSent() {
    return isSent;
  }

  /** Gets another connection, as this one broke before anything was sent on it. */
  private void reconnect() {
    connection = null;
    if (++reconnects > MAX_RECONNECTS) {
      onConnectFailed();
    } else if (result() == null) {
      pools.acquire(endpointId, this);
    }
  }

  /** No connection could be had. */
  void onConnectFailed() {
    finish(CallResult.CONNECT_FAILED);
  }

  void onReply(BackendReply reply) {
    if (reply.result() == CallResult.OK && result() == null) {
      runner.deliverResponse(request, this, () -> exchange.serve(reply.value()));
    }
    finish(reply.result(), reply.load(), reply.units());
  }

  /** The connection brought bytes that are no reply; a command that was sent may have run. */
  void onProtocolError() {
    if (isSent) {
      finish(CallResult.ERROR);
    } else {
      reconnect();
    }
  }

  void onConnectionClosed() {
    if (isSent) {
      finish(isWritten ? CallResult.RESET : CallResult.CONNECT_FAILED);
    } else {
      reconnect();
    }
  }

  @Override
  protected void onDeadlineExceeded() {
    abandon(isWritten ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED);
  }

  @Override
  public void cancel() {
    abandon(isSent ? CallResult.CANCELLED : CallResult.NOT_SENT);
  }

  /**
   * Nothing is sent for a client that has disconnected, whatever the settings say of cancelling.
   */
  @Override
  public void onClientDisconnected() {
    if (!isSent) {
      abandon(CallResult.NOT_SENT);
    }
  }

  private void abandon(CallResult outcome) {
    if (result() != null) {
      return;
    }
    if (connection != null && isSent) {
      connection.abort();
    } else if (connection != null) {
      connection.release();
    }
    finish(outcome);
  }

  private void finish(CallResult outcome) {
    finish(outcome, LoadReport.NONE, 0);
  }

  private void finish(CallResult outcome, LoadReport load, double units) {
    if (result() == null) {
      pools.activity().recordAttempt(endpointId, outcome);
      complete(outcome, load, units);
    }
  }
}
