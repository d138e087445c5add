package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/** What of a client's HTTP request goes on to a worker. */
record ForwardedRequest(HttpMethod method, String uri, MultiMap headers, Buffer body) {}
