package fawndock.gateway;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * An answer of the gateway's own, with a problem body (RFC 9457).
 *
 * @param status the HTTP status
 * @param type the last word of the problem's type
 * @param title what kind of problem it is, the same each time
 * @param detail what it is this time
 */
record ProblemDetails(int status, String type, String title, String detail) {
  void respond(HttpServerRequest request) {
    HttpServerResponse response = request.response();
    if (response.ended() || response.closed()) {
      return;
    }
    response
        .setStatusCode(status)
        .putHeader("content-type", "application/problem+json")
        .putHeader("cache-control", "no-store")
        .end(
            new JsonObject()
                .put("type", "urn:fawndock:problem:" + type)
                .put("title", title)
                .put("status", status)
                .put("detail", detail)
                .toBuffer());
  }
}
