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
 * One attempt at a worker over HTTP: from the pool's connection to the end of the answer. One
 * context.
 */
final class BackendAttempt extends InFlightAttempt {
  /** How far an attempt has come. */
  private enum Stage {
    CONNECTING,
    SENT,
    STREAMING,
    ENDED
  }

  /** What attempts need of their gateway. */
  interface Backends {
    /** Where and how to send to a server, or null when nobody has told its address. */
    RequestOptions requestOptions(String server);

    BackendPools backendPools();

    /** Bytes of an answer that are kept before it is streamed. */
    int maxBufferedResponseBytes();
  }

  private final Backends backends;
  private final HttpExchange exchange;
  private Stage stage = Stage.CONNECTING;
  private HttpClientRequest request;
  private LoadReportParser.Report report = LoadReportParser.NONE;
  private Buffer body = Buffer.buffer();

  BackendAttempt(
      PolicyRunner host, InFlightRequest open, int number, String server, Backends ways) {
    super(host, open, number, server);
    this.backends = ways;
    this.exchange = (HttpExchange) open.exchange;
  }

  @Override
  protected void begin(long abandonAt) {
    RequestOptions target = backends.requestOptions(endpointId);
    if (target == null) {
      finish(CallResult.NOT_SENT);
      return;
    }
    ForwardedRequest asked = exchange.forwardedRequest();
    // The first attempt takes the fields as they are; another may be on its way with them.
    MultiMap headers =
        number == 0 ? asked.headers() : HttpHeaders.headers().addAll(asked.headers());
    headers.set(
        "x-envoy-expected-rq-timeout-ms",
        Long.toString(Math.max(1, (abandonAt - host.clock().now()) / 1_000)));
    if (!headers.contains("x-request-id")) {
      headers.set("x-request-id", Long.toString(open.id));
    }
    headers.set("x-envoy-attempt-count", Integer.toString(number + 1));
    target.setMethod(asked.method()).setURI(asked.uri()).setHeaders(headers);
    backends
        .backendPools()
        .request(target)
        .onComplete(
            connected -> {
              if (stage == Stage.ENDED) {
                if (connected.succeeded()) {
                  connected.result().reset(CallResults.CANCEL);
                }
              } else if (connected.failed()) {
                finish(CallResult.CONNECT_FAILED);
              } else {
                send(connected.result());
              }
            });
  }

  private void send(HttpClientRequest connected) {
    request = connected;
    stage = Stage.SENT;
    request.exceptionHandler(this::onStreamFailure);
    Buffer sent = exchange.forwardedRequest().body();
    (sent.length() == 0 ? request.send() : request.send(sent))
        .onComplete(
            answer -> {
              if (answer.failed()) {
                onStreamFailure(answer.cause());
              } else {
                onResponseHead(answer.result());
              }
            });
  }

  private void onResponseHead(HttpClientResponse answer) {
    if (stage != Stage.SENT) {
      return;
    }
    report = LoadReportParser.parse(answer.getHeader(LoadReportParser.HEADER));
    answer.exceptionHandler(this::onStreamFailure);
    if (CallResults.ofStatus(answer.statusCode()) != CallResult.OK) {
      finish(CallResults.ofStatus(answer.statusCode()));
      answer.resume();
    } else if (!open.open()) {
      answer.endHandler(done -> finish(CallResult.OK));
    } else if (exchange.requestAttributes().requestClass().isStreamed()) {
      stream(answer);
    } else {
      answer.handler(
          part -> {
            body.appendBuffer(part);
            if (stage == Stage.SENT && body.length() > backends.maxBufferedResponseBytes()) {
              stream(answer);
            }
          });
      answer.endHandler(
          done -> {
            if (stage == Stage.SENT) {
              exchange.setStatus(answer.statusCode());
              host.deliver(
                  open, this, () -> exchange.serve(answer.statusCode(), answer.headers(), body));
              finish(CallResult.OK);
            }
          });
    }
  }

  /** From here on the answer is the client's: neither time-out nor cancel ends it. */
  private void stream(HttpClientResponse answer) {
    if (!open.open()) {
      answer.handler(null);
      answer.endHandler(done -> finish(CallResult.OK));
      return;
    }
    stage = Stage.STREAMING;
    keep();
    host.begin(open, this);
    Buffer soFar = body;
    body = Buffer.buffer();
    exchange.stream(
        answer,
        soFar,
        broken -> {
          if (stage == Stage.STREAMING) {
            host.streamed(open, this, broken == null);
            finish(broken == null ? CallResult.OK : CallResult.RESET);
          }
        });
  }

  private void onStreamFailure(Throwable cause) {
    if (stage == Stage.SENT) {
      finish(
          CallResults.ofStreamFailure(
              cause,
              request.streamId(),
              backends.backendPools().lastProcessedStreamId(request.connection())));
    }
  }

  @Override
  protected void abandoned() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.CONNECT_FAILED);
    } else if (stage == Stage.SENT) {
      finish(CallResult.TIMEOUT);
      request.reset(CallResults.CANCEL);
    }
  }

  @Override
  public void cancel() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.NOT_SENT);
    } else if (stage == Stage.SENT) {
      finish(CallResult.CANCELLED);
      request.reset(CallResults.CANCEL);
    }
  }

  @Override
  public void leave() {
    if (stage == Stage.STREAMING) {
      finish(CallResult.CANCELLED);
      request.reset(CallResults.CANCEL);
    }
  }

  private void finish(CallResult how) {
    if (stage != Stage.ENDED) {
      stage = Stage.ENDED;
      body = null;
      end(how, report.load(), report.units());
    }
  }
}
