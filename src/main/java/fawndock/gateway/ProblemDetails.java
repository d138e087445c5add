package fawndock.gateway;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * An answer of the gateway's own, with problem details as its body (RFC 9457).
 *
 * @param status the HTTP status
 * @param type the last word of the problem's type
 * @param title what kind of problem it is, the same each time
 * @param detail what it is this time
 */
record ProblemDetails(int status, String type, String title, String detail) {
  private static final String TYPE_PREFIX = "urn:fawndock:problem:";

  /** Sends it, unless the request has its response or its client has left. */
  void respond(HttpServerRequest request) {
    HttpServerResponse response = request.response();
    if (response.ended() || response.closed()) {
      return;
    }
    JsonObject body =
        new JsonObject()
            .put("type", TYPE_PREFIX + type)
            .put("title", title)
            .put("status", status)
            .put("detail", detail);
    response
        .setStatusCode(status)
        .putHeader("content-type", "application/problem+json")
        .putHeader("cache-control", "no-store")
        .end(body.toBuffer());
  }
}
