package fawndock.fake;

import fawndock.conformance.TraceEvent;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends one HTTP/1.1 request on a connection of its own and reads until the connection closes, so
 * that a second response, were there one, is seen. It may disconnect early. Runs on its Vert.x
 * event loops.
 */
public final class RawHttpClient {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) [^\r\n]*\r\n");
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)\r\n");
  private static final Pattern RETRY_AFTER = Pattern.compile("(?i)\r\nretry-after: *([0-9]+)\r\n");
  private static final long MAX_EXCHANGE_MILLIS = 60_000;

  /** How an exchange ended: the first status, or 0 without one; seconds to wait, or 0. */
  public record ExchangeResult(int status, int retryAfterSeconds, boolean hasDisconnected) {}

  /**
   * One request.
   *
   * @param disconnectAfterMicros when the client disconnects if it has no response; 0 for never
   */
  public record RequestSpec(
      String requestId,
      int gatewayIndex,
      int port,
      String method,
      String path,
      String requestClass,
      String apiKey,
      String customer,
      double units,
      long timeoutMicros,
      String idempotencyKey,
      long disconnectAfterMicros) {}

  private final Vertx vertx;
  private final NetClient net;
  private final TraceRecorder recorder;

  public RawHttpClient(Vertx vertx, TraceRecorder recorder) {
    this.vertx = vertx;
    this.net =
        vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    this.recorder = recorder;
  }

  /** Sends a request; the callback is called once, when the connection has closed. */
  public void send(RequestSpec call, Consumer<ExchangeResult> onCompleted) {
    net.connect(call.port(), "127.0.0.1")
        .onComplete(
            connected -> {
              if (connected.failed()) {
                onCompleted.accept(
                    new ExchangeResult(0, 0, false)); // Not accepted: no gateway listens there.
                return;
              }
              NetSocket socket = connected.result();
              long now = TraceRecorder.nowMicros();
              recorder.record(
                  new TraceEvent.RequestSent(
                      now,
                      call.requestId(),
                      call.gatewayIndex(),
                      call.requestClass(),
                      call.customer(),
                      call.units(),
                      now + call.timeoutMicros()));
              new Exchange(socket, call, onCompleted).start();
            });
  }

  private final class Exchange {
    private final NetSocket socket;
    private final RequestSpec call;
    private final Consumer<ExchangeResult> onCompleted;
    private Buffer read = Buffer.buffer();
    private int status;
    private int retryAfterSeconds;
    private boolean hasDisconnected;
    private boolean isCompleted;

    Exchange(NetSocket socket, RequestSpec call, Consumer<ExchangeResult> onCompleted) {
      this.socket = socket;
      this.call = call;
      this.onCompleted = onCompleted;
    }

    void start() {
      socket.handler(this::read);
      socket.closeHandler(v -> onClosed());
      socket.exceptionHandler(e -> {});
      StringBuilder head =
          new StringBuilder(call.method())
              .append(' ')
              .append(call.path())
              .append(" HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\nx-request-id: ")
              .append(call.requestId())
              .append("\r\nx-api-key: ")
              .append(call.apiKey())
              .append("\r\nx-envoy-expected-rq-timeout-ms: ")
              .append(call.timeoutMicros() / 1_000)
              .append("\r\n");
      if (call.idempotencyKey() != null) {
        head.append("idempotency-key: \"").append(call.idempotencyKey()).append("\"\r\n");
      }
      socket.write(head.append("\r\n").toString());
      if (call.disconnectAfterMicros() > 0) {
        vertx.setTimer(Math.max(1, call.disconnectAfterMicros() / 1_000), id -> disconnect());
      }
      vertx.setTimer(MAX_EXCHANGE_MILLIS, id -> socket.close());
    }

    private void disconnect() {
      if (status == 0 && !hasDisconnected && !isCompleted) {
        hasDisconnected = true;
        recorder.record(
            new TraceEvent.ClientDisconnected(TraceRecorder.nowMicros(), call.requestId()));
        socket.close();
      }
    }

    /** Reads whole responses from the bytes received; each is recorded. */
    private void read(Buffer part) {
      if (hasDisconnected) {
        return;
      }
      read.appendBuffer(part);
      while (true) {
        String text = read.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        Matcher line = STATUS_LINE.matcher(text);
        if (end < 0 || !line.lookingAt()) {
          return;
        }
        String head = text.substring(0, end + 2);
        Matcher length = CONTENT_LENGTH.matcher(head);
        int whole = end + 4 + (length.find() ? Integer.parseInt(length.group(1)) : 0);
        if (read.length() < whole) {
          return;
        }
        recorder.record(
            new TraceEvent.ResponseReceived(
                TraceRecorder.nowMicros(), call.requestId(), Integer.parseInt(line.group(1))));
        if (status == 0) {
          status = Integer.parseInt(line.group(1));
          Matcher wait = RETRY_AFTER.matcher(head);
          retryAfterSeconds = wait.find() ? Integer.parseInt(wait.group(1)) : 0;
        }
        read = read.getBuffer(whole, read.length());
      }
    }

    private void onClosed() {
      if (isCompleted) {
        return;
      }
      isCompleted = true;
      if (status == 0 && !hasDisconnected) {
        recorder.record(new TraceEvent.ConnectionLost(TraceRecorder.nowMicros(), call.requestId()));
      }
      onCompleted.accept(new ExchangeResult(status, retryAfterSeconds, hasDisconnected));
    }
  }
}
