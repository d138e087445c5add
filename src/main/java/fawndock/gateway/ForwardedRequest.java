package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * What of a client's HTTP request is forwarded to a backend.
 *
 * @param headers without those of the connection and of the gateway
 * @param body grows until it is collected
 */
record ForwardedRequest(HttpMethod method, String uri, MultiMap headers, Buffer body) {}
