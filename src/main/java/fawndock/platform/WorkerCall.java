package fawndock.platform;

import fawndock.Gatekeeper.Result;
import fawndock.host.GatekeeperHost;
import fawndock.host.OpenAttempt;
import fawndock.host.OpenRequest;
import io.netty.buffer.ByteBuf;
import java.util.Map;

/**
 * One attempt at a worker, on a connection that carries nothing else meanwhile: giving it up ends the connection, and
 * replies come in order. Whether it can have run goes by the platform's table: never before the last byte is written.
 */
final class WorkerCall extends OpenAttempt {
    private final WorkerPools pools;
    private final PlatformExchange exchange;
    private WorkerPools.Lease lease;
    private boolean sent;
    private boolean written;
    private long abandonAt;

    WorkerCall(GatekeeperHost host, OpenRequest open, int number, String server, WorkerPools pools) {
        super(host, open, number, server);
        this.pools = pools;
        this.exchange = (PlatformExchange) open.exchange;
    }

    @Override
    protected void begin(long abandonAtMicros) {
        abandonAt = abandonAtMicros;
        pools.lease(server, this);
    }

    private void finish(Result how, Map<String, Double> load, double units) {
        if (result() == null) {
            pools.figures().attempt(server, how);
            end(how, load, units);
        }
    }

    private void finish(Result how) {
        finish(how, Map.of(), 0);
    }

    /** Nobody has told the worker's address. */
    void unknown() {
        finish(Result.UNUSED);
    }

    /** There is a connection; returns whether it is wanted. */
    boolean connected(WorkerPools.Lease ready) {
        if (result() != null) {
            return false;
        }
        lease = ready;
        sent = true;
        long left = Math.max(1, (abandonAt - host.clock().now()) / 1_000);
        ByteBuf command = exchange.command().toWorker(left);
        ready.connection().write(command, whole -> {
            written |= whole;
            if (!whole) {
                broken();
            }
        });
        return true;
    }

    /** No connection came up. */
    void unconnected() {
        finish(Result.CONNECT_FAILED);
    }

    /** Its reply has come. */
    void replied(WorkerAnswer answer) {
        if (answer.result() == Result.OK && result() == null) {
            host.deliver(open, this, () -> exchange.serve(answer.value()));
        }
        finish(answer.result(), answer.load(), answer.units());
    }

    /** What came cannot be read: the worker answered, and the work may have run. */
    void spoilt() {
        finish(Result.ERROR);
    }

    /** The connection broke. */
    void broken() {
        finish(written ? Result.RESET : Result.CONNECT_FAILED);
    }

    @Override
    protected void abandoned() {
        leave(written ? Result.TIMEOUT : Result.CONNECT_FAILED);
    }

    @Override
    public void cancel() {
        leave(sent ? Result.CANCELLED : Result.UNUSED);
    }

    private void leave(Result how) {
        if (result() == null) {
            if (lease != null) {
                lease.abandon();
            }
            finish(how);
        }
    }
}
