package fawndock.gateway;

import fawndock.Gatekeeper.RequestClass;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;

/**
 * A client's side of one request, whatever protocol it came by. The host calls exactly one of {@link #serve},
 * {@link #stream}, {@link #refuse} and {@link #fail}, once, and none when the client has left.
 */
interface Exchange {
    /** What was asked, by whom, and what of it goes to a worker. */
    record Asked(RequestClass type, String plan, String customer, long arrivedAt, long giveUpAt, double units,
                 int spread, int first, boolean repeat, HttpMethod method, String uri, MultiMap headers,
                 Buffer body, String label) {
    }

    Asked asked();

    /** A worker's whole answer, with all of its header fields. */
    void serve(int status, MultiMap headers, Buffer body);

    /**
     * Begins a streamed answer, with what came of it so far; the rest is piped at the client's pace.
     *
     * @param ended told once: null when all of it was passed on, else what broke on either side
     */
    void stream(HttpClientResponse answer, Buffer soFar, java.util.function.Consumer<Throwable> ended);

    /** Turned away; trying again after so long is harmless. */
    void refuse(long retryAfterMicros);

    /** Failed: 502 or 504. */
    void fail(int status, String reason);

    /** Ends the client's side at once after a streamed answer broke. */
    void abort();
}
