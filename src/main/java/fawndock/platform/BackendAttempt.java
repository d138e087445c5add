package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.PolicyRunner;
import java.util.Map;

/**
 * One attempt at a worker, on a connection that carries nothing else meanwhile: giving it up ends
 * the connection, and replies come in order. Whether it can have run goes by the platform's table:
 * never before the last byte is written.
 */
final class BackendAttempt extends InFlightAttempt {
  /** Connections that may end under it before it is sent. */
  private static final int MOST_AGAIN = 3;

  private final BackendConnectionPools pools;
  private final ClientExchange exchange;
  private BackendConnectionPools.PooledConnection lease;
  private int again;
  private boolean sent;
  private boolean written;
  private long abandonAt;

  BackendAttempt(
      PolicyRunner host,
      InFlightRequest open,
      int number,
      String server,
      BackendConnectionPools pools) {
    super(host, open, number, server);
    this.pools = pools;
    this.exchange = (ClientExchange) open.exchange;
  }

  @Override
  protected void send(long abandonAtMicros) {
    abandonAt = abandonAtMicros;
    pools.lease(endpointId, this);
  }

  private void finish(CallResult how, Map<String, Double> load, double units) {
    if (result() == null) {
      pools.figures().recordAttempt(endpointId, how);
      complete(how, load, units);
    }
  }

  private void finish(CallResult how) {
    finish(how, Map.of(), 0);
  }

  /** Nobody has told the worker's address. */
  void unknown() {
    finish(CallResult.NOT_SENT);
  }

  /** There is a connection; returns whether it is wanted. */
  boolean connected(BackendConnectionPools.PooledConnection ready) {
    if (result() != null) {
      return false;
    }
    lease = ready;
    // After all that has come in this turn: a client that has closed by now has gone, and a
    // connection that the
    // worker has closed by now, or on which it sent a second copy, is of no use.
    pools.later(this::write);
    return true;
  }

  private void write() {
    if (result() != null || lease == null || sent) {
      return;
    }
    // What is left to the client as it is written, also on a connection that came up late.
    long left = (abandonAt - runner.clock().now()) / 1_000;
    // A drain that was told between the choice of the worker and now: guards against a turn in
    // which a request was
    // read before the drain that lay there as long. May take a free attempt more; nothing was sent.
    if (left <= 0 || pools.closedToNew(endpointId)) {
      leave(CallResult.NOT_SENT);
      return;
    }
    sent = true;
    lease
        .connection()
        .write(
            exchange.command().toWorker(left),
            whole -> {
              written |= whole;
              if (!whole) {
                broken();
              }
            });
  }

  /** Whether its command was handed to the network, in part at least. */
  boolean sent() {
    return sent;
  }

  /** The connection it had is over, or of no use, before anything was sent: it gets another. */
  private void again() {
    lease = null;
    if (++again > MOST_AGAIN) {
      unconnected();
    } else if (result() == null) {
      pools.lease(endpointId, this);
    }
  }

  /** No connection came up. */
  void unconnected() {
    finish(CallResult.CONNECT_FAILED);
  }

  /** Its reply has come. */
  void replied(BackendReply answer) {
    if (answer.result() == CallResult.OK && result() == null) {
      runner.deliverResponse(request, this, () -> exchange.serve(answer.value()));
    }
    finish(answer.result(), answer.load(), answer.units());
  }

  /**
   * What came cannot be read: where it was asked, the worker answered, and the work may have run.
   */
  void spoilt() {
    if (sent) {
      finish(CallResult.ERROR);
    } else {
      again();
    }
  }

  /** The connection broke. */
  void broken() {
    if (sent) {
      finish(written ? CallResult.RESET : CallResult.CONNECT_FAILED);
    } else {
      again();
    }
  }

  @Override
  protected void onDeadlineExceeded() {
    leave(written ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED);
  }

  @Override
  public void cancel() {
    leave(sent ? CallResult.CANCELLED : CallResult.NOT_SENT);
  }

  /**
   * A client that has left has nothing begun for it any more, whatever the settings say of
   * cancelling.
   */
  @Override
  public void onClientDisconnected() {
    if (!sent) {
      leave(CallResult.NOT_SENT);
    }
  }

  private void leave(CallResult how) {
    if (result() == null) {
      if (lease != null && sent) {
        lease.abandon();
      } else if (lease != null) {
        lease.rest();
      }
      finish(how);
    }
  }
}
