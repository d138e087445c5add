package fawndock.gateway;

import fawndock.policy.event.CallResult;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.PolicyRunner;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;

/**
 * One attempt to send a request to a backend over HTTP, from opening a stream to the end of the
 * response. docs/design/gateway.md specifies the result of each way to end. The attempt is confined
 * to one event-loop context.
 */
final class BackendAttempt extends InFlightAttempt {
  /** Progress of an attempt. */
  private enum Stage {
    CONNECTING,
    SENT,
    STREAMING,
    COMPLETED
  }

  /** Access to the endpoints and connections of the gateway. */
  interface Backends {
    /** Returns request options with an endpoint's address, or null if the address is unknown. */
    RequestOptions requestOptions(String endpointId);

    /** Returns whether an endpoint is known and takes new requests. */
    boolean isAvailable(String endpointId);

    BackendPools backendPools();

    /** Returns the number of response body bytes above which a response is streamed. */
    int maxBufferedResponseBytes();
  }

  private final Backends backends;
  private final HttpExchange exchange;
  private Stage stage = Stage.CONNECTING;
  private HttpClientRequest httpRequest;
  private LoadReportParser.Report loadReport = LoadReportParser.NONE;
  private Buffer body = Buffer.buffer();

  BackendAttempt(
      PolicyRunner runner,
      InFlightRequest request,
      int index,
      String endpointId,
      Backends backends) {
    super(runner, request, index, endpointId);
    this.backends = backends;
    this.exchange = (HttpExchange) request.exchange;
  }

  @Override
  protected void send(long deadlineAtMicros) {
    RequestOptions options = backends.requestOptions(endpointId);
    if (options == null) {
      finish(CallResult.NOT_SENT);
      return;
    }
    ForwardedRequest forwarded = exchange.forwardedRequest();
    options
        .setMethod(forwarded.method())
        .setURI(forwarded.uri())
        .setHeaders(headers(forwarded, deadlineAtMicros));
    backends
        .backendPools()
        .request(options)
        .onComplete(
            connected -> {
              if (stage == Stage.COMPLETED) {
                if (connected.succeeded()) {
                  discard(connected.result());
                }
              } else if (connected.failed()) {
                finish(CallResult.CONNECT_FAILED);
              } else if (!maySend() || !backends.isAvailable(endpointId)) {
                finish(CallResult.NOT_SENT);
                discard(connected.result());
              } else {
                send(connected.result());
              }
            });
  }

  private MultiMap headers(ForwardedRequest forwarded, long deadlineAtMicros) {
    // The first attempt uses the header fields without a copy. Later attempts need a copy because
    // an earlier one may still be in flight.
    MultiMap headers =
        index == 0 ? forwarded.headers() : HttpHeaders.headers().addAll(forwarded.headers());
    long timeoutMillis = Math.max(1, (deadlineAtMicros - runner.clock().nowMicros()) / 1_000);
    headers.set("x-envoy-expected-rq-timeout-ms", Long.toString(timeoutMillis));
    if (!headers.contains("x-request-id")) {
      headers.set("x-request-id", Long.toString(request.id));
    }
    headers.set("x-envoy-attempt-count", Integer.toString(index + 1));
    return headers;
  }

  private void send(HttpClientRequest connected) {
    httpRequest = connected;
    stage = Stage.SENT;
    httpRequest.exceptionHandler(this::onStreamFailure);
    Buffer requestBody = exchange.forwardedRequest().body();
    (requestBody.length() == 0 ? httpRequest.send() : httpRequest.send(requestBody))
        .onComplete(
            response -> {
              if (response.failed()) {
                onStreamFailure(response.cause());
              } else {
                onResponseHead(response.result());
              }
            });
  }

  private void onResponseHead(HttpClientResponse response) {
    if (stage != Stage.SENT) {
      return;
    }
    loadReport = LoadReportParser.parse(response.getHeader(LoadReportParser.HEADER));
    response.exceptionHandler(this::onStreamFailure);
    CallResult result = CallResults.ofStatus(response.statusCode());
    if (result != CallResult.OK) {
      finish(result);
      response.resume();
    } else if (!request.isOpen()) {
      response.endHandler(v -> finish(CallResult.OK));
    } else if (exchange.requestAttributes().requestClass().isStreamed()) {
      stream(response);
    } else {
      bufferBody(response);
    }
  }

  private void bufferBody(HttpClientResponse response) {
    response.handler(
        chunk -> {
          body.appendBuffer(chunk);
          if (stage == Stage.SENT && body.length() > backends.maxBufferedResponseBytes()) {
            stream(response);
          }
        });
    response.endHandler(
        v -> {
          if (stage == Stage.SENT) {
            exchange.setStatus(response.statusCode());
            runner.deliverResponse(
                request,
                this,
                () -> exchange.serve(response.statusCode(), response.headers(), body));
            finish(CallResult.OK);
          }
        });
  }

  /**
   * Starts to stream the response to the client. From then on neither the deadline nor a
   * cancellation ends the attempt.
   */
  private void stream(HttpClientResponse response) {
    if (!request.isOpen()) {
      response.handler(null);
      response.endHandler(v -> finish(CallResult.OK));
      return;
    }
    stage = Stage.STREAMING;
    cancelDeadline();
    runner.onStreamStarted(request, this);
    Buffer buffered = body;
    body = Buffer.buffer();
    exchange.stream(
        response,
        buffered,
        failure -> {
          if (stage == Stage.STREAMING) {
            runner.onStreamEnded(request, this, failure == null);
            finish(failure == null ? CallResult.OK : CallResult.RESET);
          }
        });
  }

  private void onStreamFailure(Throwable cause) {
    if (stage == Stage.SENT) {
      int lastStreamId = backends.backendPools().lastProcessedStreamId(httpRequest.connection());
      finish(CallResults.ofStreamFailure(cause, httpRequest.streamId(), lastStreamId));
    }
  }

  @Override
  protected void onSendDeadlineExceeded() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.NOT_SENT);
    }
  }

  @Override
  protected void onDeadlineExceeded() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.CONNECT_FAILED);
    } else if (stage == Stage.SENT) {
      finish(CallResult.TIMEOUT);
      resetIgnoringResult(httpRequest);
    }
  }

  @Override
  public void cancel() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.NOT_SENT);
    } else if (stage == Stage.SENT) {
      finish(CallResult.CANCELLED);
      resetIgnoringResult(httpRequest);
    }
  }

  @Override
  public void onClientDisconnected() {
    if (stage == Stage.STREAMING) {
      finish(CallResult.CANCELLED);
      resetIgnoringResult(httpRequest);
    }
  }

  /** Resets a stream on which nothing has been sent. */
  private static void discard(HttpClientRequest stream) {
    stream.exceptionHandler(ignored -> {}); // Without a handler the reset is logged as an error.
    resetIgnoringResult(stream);
  }

  private static void resetIgnoringResult(HttpClientRequest stream) {
    var unused = stream.reset(CallResults.CANCEL); // The attempt has already completed.
  }

  private void finish(CallResult result) {
    if (stage != Stage.COMPLETED) {
      stage = Stage.COMPLETED;
      body = null;
      complete(result, loadReport.load(), loadReport.units());
    }
  }
}
