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
 * An HTTP/1.1 client that sends each request on a new connection and reads until the connection
 * closes, so that an erroneous second response is also recorded. It can disconnect early. Callbacks
 * run on Vert.x event loops.
 */
public final class RawHttpClient {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) [^\r\n]*\r\n");
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)\r\n");
  private static final Pattern RETRY_AFTER = Pattern.compile("(?i)\r\nretry-after: *([0-9]+)\r\n");
  private static final long MAX_EXCHANGE_MILLIS = 60_000;

  /**
   * The outcome of an exchange. Immutable.
   *
   * @param status first status received; 0 for none
   * @param retryAfterSeconds value of the Retry-After header field; 0 for none
   * @param hasDisconnected whether the client disconnected before it received a response
   */
  public record ExchangeResult(int status, int retryAfterSeconds, boolean hasDisconnected) {}

  /**
   * A request to send. Immutable.
   *
   * @param disconnectAfterMicros time after which the client disconnects if it has received no
   *     response; 0 for never
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
  private final NetClient client;
  private final TraceRecorder recorder;

  public RawHttpClient(Vertx vertx, TraceRecorder recorder) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    this.recorder = recorder;
  }

  /** Sends a request; the callback is called once, after the connection has closed. */
  public void send(RequestSpec request, Consumer<ExchangeResult> onCompleted) {
    client
        .connect(request.port(), "127.0.0.1")
        .onComplete(
            connected -> {
              if (connected.failed()) {
                onCompleted.accept(
                    new ExchangeResult(
                        0, 0, false)); // The connection failed: no gateway listens there.
                return;
              }
              NetSocket socket = connected.result();
              long now = TraceRecorder.nowMicros();
              recorder.record(
                  new TraceEvent.RequestSent(
                      now,
                      request.requestId(),
                      request.gatewayIndex(),
                      request.requestClass(),
                      request.customer(),
                      request.units(),
                      now + request.timeoutMicros()));
              new Exchange(socket, request, onCompleted).start();
            });
  }

  private final class Exchange {
    private final NetSocket socket;
    private final RequestSpec request;
    private final Consumer<ExchangeResult> onCompleted;
    private Buffer received = Buffer.buffer();
    private int status;
    private int retryAfterSeconds;
    private boolean hasDisconnected;
    private boolean isCompleted;

    Exchange(NetSocket socket, RequestSpec request, Consumer<ExchangeResult> onCompleted) {
      this.socket = socket;
      this.request = request;
      this.onCompleted = onCompleted;
    }

    void start() {
      socket.handler(this::onBytes);
      socket.closeHandler(v -> onClosed());
      socket.exceptionHandler(e -> {});
      StringBuilder head =
          new StringBuilder(request.method())
              .append(' ')
              .append(request.path())
              .append(" HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\nx-request-id: ")
              .append(request.requestId())
              .append("\r\nx-api-key: ")
              .append(request.apiKey())
              .append("\r\nx-envoy-expected-rq-timeout-ms: ")
              .append(request.timeoutMicros() / 1_000)
              .append("\r\n");
      if (request.idempotencyKey() != null) {
        head.append("idempotency-key: \"").append(request.idempotencyKey()).append("\"\r\n");
      }
      socket.write(head.append("\r\n").toString());
      if (request.disconnectAfterMicros() > 0) {
        vertx.setTimer(Math.max(1, request.disconnectAfterMicros() / 1_000), id -> disconnect());
      }
      vertx.setTimer(MAX_EXCHANGE_MILLIS, id -> socket.close());
    }

    private void disconnect() {
      if (status == 0 && !hasDisconnected && !isCompleted) {
        hasDisconnected = true;
        recorder.record(
            new TraceEvent.ClientDisconnected(TraceRecorder.nowMicros(), request.requestId()));
        socket.close();
      }
    }

    /** Parses and records each complete response among the received bytes. */
    private void onBytes(Buffer chunk) {
      if (hasDisconnected) {
        return;
      }
      received.appendBuffer(chunk);
      while (true) {
        String text = received.toString(StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        Matcher statusLine = STATUS_LINE.matcher(text);
        if (headEnd < 0 || !statusLine.lookingAt()) {
          return;
        }
        String head = text.substring(0, headEnd + 2);
        Matcher contentLength = CONTENT_LENGTH.matcher(head);
        int messageLength =
            headEnd + 4 + (contentLength.find() ? Integer.parseInt(contentLength.group(1)) : 0);
        if (received.length() < messageLength) {
          return;
        }
        recorder.record(
            new TraceEvent.ResponseReceived(
                TraceRecorder.nowMicros(),
                request.requestId(),
                Integer.parseInt(statusLine.group(1))));
        if (status == 0) {
          status = Integer.parseInt(statusLine.group(1));
          Matcher retryAfter = RETRY_AFTER.matcher(head);
          retryAfterSeconds = retryAfter.find() ? Integer.parseInt(retryAfter.group(1)) : 0;
        }
        received = received.getBuffer(messageLength, received.length());
      }
    }

    private void onClosed() {
      if (isCompleted) {
        return;
      }
      isCompleted = true;
      if (status == 0 && !hasDisconnected) {
        recorder.record(
            new TraceEvent.ConnectionLost(TraceRecorder.nowMicros(), request.requestId()));
      }
      onCompleted.accept(new ExchangeResult(status, retryAfterSeconds, hasDisconnected));
    }
  }
}
