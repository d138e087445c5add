package fawndock.gateway;

import java.util.ArrayList;
import java.util.List;

/** One request that the host has given to its gatekeeper and not yet forgotten. One context. */
final class OpenRequest {
    /** Where a request stands with its client. */
    enum Stage { OPEN, STREAMING, OVER }

    final long id;
    final Exchange exchange;
    final List<WorkerAttempt> attempts = new ArrayList<>(1);
    Stage stage = Stage.OPEN;
    int out;
    Alarms.Alarm backstop;

    OpenRequest(long id, Exchange exchange) {
        this.id = id;
        this.exchange = exchange;
    }

    boolean over() {
        return stage == Stage.OVER;
    }
}
