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
final class WorkerAttempt extends InFlightAttempt {
  /** How far an attempt has come. */
  private enum Stage {
    CONNECTING,
    SENT,
    STREAMING,
    ENDED
  }

  /** What attempts need of their gateway. */
  interface Ways {
    /** Where and how to send to a server, or null when nobody has told its address. */
    RequestOptions target(String server);

    WorkerPools workers();

    /** Bytes of an answer that are kept before it is streamed. */
    int answerLimit();
  }

  private final Ways ways;
  private final HttpExchange exchange;
  private Stage stage = Stage.CONNECTING;
  private HttpClientRequest httpRequest;
  private LoadReport.Report report = LoadReport.NONE;
  private Buffer body = Buffer.buffer();

  WorkerAttempt(PolicyRunner host, InFlightRequest open, int number, String server, Ways ways) {
    super(host, open, number, server);
    this.ways = ways;
    this.exchange = (HttpExchange) open.exchange;
  }

  @Override
  protected void send(long abandonAt) {
    RequestOptions target = ways.target(endpointId);
    if (target == null) {
      finish(CallResult.NOT_SENT);
      return;
    }
    HttpAsked asked = exchange.sent();
    // The first attempt takes the fields as they are; another may be on its way with them.
    MultiMap headers = index == 0 ? asked.headers() : HttpHeaders.headers().addAll(asked.headers());
    headers.set(
        "x-envoy-expected-rq-timeout-ms",
        Long.toString(Math.max(1, (abandonAt - runner.clock().now()) / 1_000)));
    if (!headers.contains("x-request-id")) {
      headers.set("x-request-id", Long.toString(request.id));
    }
    headers.set("x-envoy-attempt-count", Integer.toString(index + 1));
    target.setMethod(asked.method()).setURI(asked.uri()).setHeaders(headers);
    ways.workers()
        .request(target)
        .onComplete(
            connected -> {
              if (stage == Stage.ENDED) {
                if (connected.succeeded()) {
                  connected.result().reset(Ends.CANCEL);
                }
              } else if (connected.failed()) {
                finish(CallResult.CONNECT_FAILED);
              } else {
                send(connected.result());
              }
            });
  }

  private void send(HttpClientRequest connected) {
    httpRequest = connected;
    stage = Stage.SENT;
    httpRequest.exceptionHandler(this::broken);
    Buffer sent = exchange.sent().body();
    (sent.length() == 0 ? httpRequest.send() : httpRequest.send(sent))
        .onComplete(
            answer -> {
              if (answer.failed()) {
                broken(answer.cause());
              } else {
                head(answer.result());
              }
            });
  }

  private void head(HttpClientResponse answer) {
    if (stage != Stage.SENT) {
      return;
    }
    report = LoadReport.parse(answer.getHeader(LoadReport.HEADER));
    answer.exceptionHandler(this::broken);
    if (Ends.answered(answer.statusCode()) != CallResult.OK) {
      finish(Ends.answered(answer.statusCode()));
      answer.resume();
    } else if (!request.isOpen()) {
      answer.endHandler(done -> finish(CallResult.OK));
    } else if (exchange.requestAttributes().requestClass().isStreamed()) {
      stream(answer);
    } else {
      answer.handler(
          part -> {
            body.appendBuffer(part);
            if (stage == Stage.SENT && body.length() > ways.answerLimit()) {
              stream(answer);
            }
          });
      answer.endHandler(
          done -> {
            if (stage == Stage.SENT) {
              exchange.serving(answer.statusCode());
              runner.deliverResponse(
                  request, this, () -> exchange.serve(answer.statusCode(), answer.headers(), body));
              finish(CallResult.OK);
            }
          });
    }
  }

  /** From here on the answer is the client's: neither time-out nor cancel ends it. */
  private void stream(HttpClientResponse answer) {
    if (!request.isOpen()) {
      answer.handler(null);
      answer.endHandler(done -> finish(CallResult.OK));
      return;
    }
    stage = Stage.STREAMING;
    cancelDeadline();
    runner.onStreamStarted(request, this);
    Buffer soFar = body;
    body = Buffer.buffer();
    exchange.stream(
        answer,
        soFar,
        broken -> {
          if (stage == Stage.STREAMING) {
            runner.onStreamEnded(request, this, broken == null);
            finish(broken == null ? CallResult.OK : CallResult.RESET);
          }
        });
  }

  private void broken(Throwable cause) {
    if (stage == Stage.SENT) {
      finish(
          Ends.broken(
              cause, httpRequest.streamId(), ways.workers().lastStream(httpRequest.connection())));
    }
  }

  @Override
  protected void onDeadlineExceeded() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.CONNECT_FAILED);
    } else if (stage == Stage.SENT) {
      finish(CallResult.TIMEOUT);
      httpRequest.reset(Ends.CANCEL);
    }
  }

  @Override
  public void cancel() {
    if (stage == Stage.CONNECTING) {
      finish(CallResult.NOT_SENT);
    } else if (stage == Stage.SENT) {
      finish(CallResult.CANCELLED);
      httpRequest.reset(Ends.CANCEL);
    }
  }

  @Override
  public void onClientDisconnected() {
    if (stage == Stage.STREAMING) {
      finish(CallResult.CANCELLED);
      httpRequest.reset(Ends.CANCEL);
    }
  }

  private void finish(CallResult how) {
    if (stage != Stage.ENDED) {
      stage = Stage.ENDED;
      body = null;
      complete(how, report.load(), report.units());
    }
  }
}
