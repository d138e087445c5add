package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * The part of a client's HTTP request that is forwarded to a backend.
 *
 * @param headers the header fields without hop-by-hop fields and those that the gateway consumes
 * @param body the body; it grows until it is completely collected
 */
record ForwardedRequest(HttpMethod method, String uri, MultiMap headers, Buffer body) {}
