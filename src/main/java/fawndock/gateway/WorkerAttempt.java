package fawndock.gateway;

import fawndock.Gatekeeper.Result;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/**
 * One attempt of a request at a worker: from the pool's connection to the end of the answer. It ends exactly once,
 * by the first of what happens to it, and tells its host the end; what comes later is dropped. One context.
 */
final class WorkerAttempt {
    /** How far an attempt has come. */
    private enum Stage { CONNECTING, SENT, STREAMING, ENDED }

    private final GatekeeperHost host;
    private final OpenRequest open;
    final int number;
    final String server;
    private final long startedAt;
    private Stage stage = Stage.CONNECTING;
    private Alarms.Alarm abandon;
    private HttpClientRequest request;
    private LoadReport.Report report = LoadReport.NONE;
    private Buffer body = Buffer.buffer();
    Result result;

    WorkerAttempt(GatekeeperHost host, OpenRequest open, int number, String server) {
        this.host = host;
        this.open = open;
        this.number = number;
        this.server = server;
        this.startedAt = host.clock().now();
    }

    /** Connects and sends; gives up at the time given, and is cancelled when that comes first. */
    void start(RequestOptions options, long abandonAtMicros) {
        abandon = host.alarms().after(abandonAtMicros - startedAt, this::timeOut);
        host.workers().request(options).onComplete(connected -> {
            if (stage == Stage.ENDED) {
                if (connected.succeeded()) {
                    connected.result().reset(Ends.CANCEL);
                }
            } else if (connected.failed()) {
                end(Result.CONNECT_FAILED);
            } else {
                send(connected.result());
            }
        });
    }

    private void send(HttpClientRequest connected) {
        request = connected;
        stage = Stage.SENT;
        request.exceptionHandler(this::broken);
        Buffer sent = open.exchange.asked().body();
        (sent.length() == 0 ? request.send() : request.send(sent)).onComplete(answer -> {
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
        if (Ends.answered(answer.statusCode()) != Result.OK) {
            end(Ends.answered(answer.statusCode()));
            answer.resume();
        } else if (open.stage != OpenRequest.Stage.OPEN) {
            answer.endHandler(done -> end(Result.OK));
        } else if (open.exchange.asked().type().streamed()) {
            stream(answer);
        } else {
            answer.handler(part -> {
                body.appendBuffer(part);
                if (stage == Stage.SENT && body.length() > host.answerLimit()) {
                    stream(answer);
                }
            });
            answer.endHandler(done -> {
                if (stage == Stage.SENT) {
                    host.deliver(open, this, answer.statusCode(), answer.headers(), body);
                    end(Result.OK);
                }
            });
        }
    }

    /** From here on the answer is the client's: neither time-out nor cancel ends it. */
    private void stream(HttpClientResponse answer) {
        if (open.stage != OpenRequest.Stage.OPEN) {
            answer.handler(null);
            answer.endHandler(done -> end(Result.OK));
            return;
        }
        stage = Stage.STREAMING;
        host.alarms().cancel(abandon);
        host.begin(open, this);
        Buffer soFar = body;
        body = Buffer.buffer();
        open.exchange.stream(answer, soFar, broken -> {
            if (stage == Stage.STREAMING) {
                host.streamed(open, this, broken == null);
                end(broken == null ? Result.OK : Result.RESET);
            }
        });
    }

    private void broken(Throwable cause) {
        if (stage == Stage.SENT) {
            end(Ends.broken(cause, request.streamId(), host.workers().lastStream(request.connection())));
        }
    }

    private void timeOut() {
        if (stage == Stage.CONNECTING) {
            end(Result.CONNECT_FAILED);
        } else if (stage == Stage.SENT) {
            end(Result.TIMEOUT);
            request.reset(Ends.CANCEL);
        }
    }

    /** Calls the attempt off unless its answer has begun. */
    void cancel() {
        if (stage == Stage.CONNECTING) {
            end(Result.UNUSED);
        } else if (stage == Stage.SENT) {
            end(Result.CANCELLED);
            request.reset(Ends.CANCEL);
        }
    }

    /** The client of a streamed answer has left. */
    void leave() {
        if (stage == Stage.STREAMING) {
            end(Result.CANCELLED);
            request.reset(Ends.CANCEL);
        }
    }

    /** Ends an attempt that was never started. */
    void unused() {
        end(Result.UNUSED);
    }

    private void end(Result how) {
        if (stage == Stage.ENDED) {
            return;
        }
        stage = Stage.ENDED;
        result = how;
        body = null;
        host.alarms().cancel(abandon);
        host.ended(open, this, host.clock().now() - startedAt, report);
    }
}
