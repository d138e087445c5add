package fawndock.gateway;

import fawndock.policy.config.Plan;
import fawndock.runtime.ServerExchange;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Set;
import java.util.function.Consumer;

/** A client's HTTP request. */
final class HttpExchange implements ServerExchange {
  private final HttpServerRequest request;
  private final RequestAttributes attributes;
  private final ForwardedRequest forwardedRequest;
  private int status;
  private final Plan plan;

  HttpExchange(
      HttpServerRequest request, RequestAttributes asked, ForwardedRequest sent, Plan plan) {
    this.request = request;
    this.attributes = asked;
    this.forwardedRequest = sent;
    this.plan = plan;
  }

  @Override
  public RequestAttributes requestAttributes() {
    return attributes;
  }

  /** What goes on to a worker. */
  ForwardedRequest forwardedRequest() {
    return forwardedRequest;
  }

  /** The status of the whole answer that it got, or 0. */
  int status() {
    return status;
  }

  /** A worker's whole answer will be served with this status. */
  void setStatus(int status) {
    this.status = status;
  }

  /** A worker's whole answer, with all of its header fields. */
  void serve(int status, MultiMap headers, Buffer body) {
    HttpServerResponse response = request.response();
    if (response.closed()) {
      return;
    }
    response.setStatusCode(status);
    ForwardedHeaders.copyEndToEnd(headers, response.headers(), Set.of());
    if (request.method() == HttpMethod.HEAD || status == 204 || status == 304) {
      response.end();
    } else {
      response.putHeader("content-length", Integer.toString(body.length()));
      response.end(body);
    }
  }

  /**
   * Begins a streamed answer, with what came of it so far; the rest is piped at the client's pace.
   *
   * @param ended told once: null when all of it was passed on, else what broke on either side
   */
  void stream(HttpClientResponse answer, Buffer soFar, Consumer<Throwable> ended) {
    HttpServerResponse response = request.response();
    response.setStatusCode(answer.statusCode());
    ForwardedHeaders.copyEndToEnd(answer.headers(), response.headers(), Set.of());
    response.setChunked(!response.headers().contains("content-length"));
    if (soFar.length() > 0) {
      response.write(soFar);
    }
    answer.pipe().endOnFailure(false).to(response).onComplete(done -> ended.accept(done.cause()));
  }

  /** 429 with {@code Retry-After} and the fields of draft-ietf-httpapi-ratelimit-headers-10. */
  @Override
  public void reject(long retryAfterMicros) {
    long seconds = Math.max(1, (retryAfterMicros + 999_999) / 1_000_000);
    HttpServerResponse response = request.response();
    response.putHeader("retry-after", Long.toString(seconds));
    if (plan != null && plan.unitsPerSecond() > 0) {
      String name = '"' + plan.name().replaceAll("[^ !#-\\[\\]-~]", "") + '"';
      response.putHeader(
          "ratelimit-policy",
          name
              + ";q="
              + (long) Math.floor(plan.burstUnits())
              + ";w="
              + Math.max(1, (long) Math.ceil(plan.burstUnits() / plan.unitsPerSecond())));
      response.putHeader("ratelimit", name + ";r=0;t=" + seconds);
    }
    new ProblemDetails(
            429,
            "refused",
            "Refused",
            "Turned away; trying again after " + seconds + " s is harmless.")
        .respond(request);
  }

  @Override
  public void fail(boolean answered, String reason) {
    int status = answered ? 502 : 504;
    new ProblemDetails(
            status,
            "failed",
            status == 504 ? "No answer in time" : "No usable answer",
            "The request may have had its effect: " + reason + ".")
        .respond(request);
  }

  @Override
  public void abort() {
    if (!request.response().ended()) {
      request.response().reset(2);
    }
  }
}
