package fawndock.gateway;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * A response that the gateway generates itself, with problem details (RFC 9457) as its body.
 *
 * @param status the HTTP status code
 * @param type the last segment of the problem type URI
 * @param title a summary of the problem type, the same for every occurrence
 * @param detail an explanation of this occurrence
 */
record ProblemDetails(int status, String type, String title, String detail) {
  private static final String TYPE_PREFIX = "urn:fawndock:problem:";

  /** Sends the response, unless one has already been sent or the client has disconnected. */
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
