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
 * A client that writes one HTTP/1.1 request on a connection of its own and reads until the
 * connection closes, so that a second answer, were there one, is seen. It may leave before it is
 * answered.
 */
public final class RawHttpClient {
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) [^\r\n]*\r\n");
  private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)\r\n");
  private static final Pattern WAIT = Pattern.compile("(?i)\r\nretry-after: *([0-9]+)\r\n");
  private static final long LONGEST_MILLIS = 60_000;

  /**
   * How it ended for the client: the first status, or 0 when it had none; seconds to wait, or 0.
   */
  public record End(int status, int retryAfter, boolean left) {}

  /**
   * One request.
   *
   * @param leaveAfterMicros the client leaves then when it has no answer; 0 for never
   */
  public record Call(
      String id,
      int gatekeeper,
      int port,
      String method,
      String path,
      String type,
      String key,
      String customer,
      double units,
      long remainingMicros,
      String idempotencyKey,
      long leaveAfterMicros) {}

  private final Vertx vertx;
  private final NetClient net;
  private final TraceRecorder recorder;

  public RawHttpClient(Vertx vertx, TraceRecorder recorder) {
    this.vertx = vertx;
    this.net =
        vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    this.recorder = recorder;
  }

  /** Sends a request and tells its end once. */
  public void send(Call call, Consumer<End> ended) {
    net.connect(call.port(), "127.0.0.1")
        .onComplete(
            connected -> {
              if (connected.failed()) {
                ended.accept(new End(0, 0, false)); // Never taken: no gatekeeper was there.
                return;
              }
              NetSocket socket = connected.result();
              long now = TraceRecorder.now();
              recorder.add(
                  new TraceEvent.Asked(
                      now,
                      call.id(),
                      call.gatekeeper(),
                      call.type(),
                      call.customer(),
                      call.units(),
                      now + call.remainingMicros()));
              new Conversation(socket, call, ended).begin();
            });
  }

  private final class Conversation {
    private final NetSocket socket;
    private final Call call;
    private final Consumer<End> ended;
    private Buffer read = Buffer.buffer();
    private int status;
    private int retryAfter;
    private boolean left;
    private boolean told;

    Conversation(NetSocket socket, Call call, Consumer<End> ended) {
      this.socket = socket;
      this.call = call;
      this.ended = ended;
    }

    void begin() {
      socket.handler(this::read);
      socket.closeHandler(v -> closed());
      socket.exceptionHandler(e -> {});
      StringBuilder head =
          new StringBuilder(call.method())
              .append(' ')
              .append(call.path())
              .append(" HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\nx-request-id: ")
              .append(call.id())
              .append("\r\nx-api-key: ")
              .append(call.key())
              .append("\r\nx-envoy-expected-rq-timeout-ms: ")
              .append(call.remainingMicros() / 1_000)
              .append("\r\n");
      if (call.idempotencyKey() != null) {
        head.append("idempotency-key: \"").append(call.idempotencyKey()).append("\"\r\n");
      }
      socket.write(head.append("\r\n").toString());
      if (call.leaveAfterMicros() > 0) {
        vertx.setTimer(Math.max(1, call.leaveAfterMicros() / 1_000), id -> leave());
      }
      vertx.setTimer(LONGEST_MILLIS, id -> socket.close());
    }

    private void leave() {
      if (status == 0 && !left && !told) {
        left = true;
        recorder.add(new TraceEvent.Left(TraceRecorder.now(), call.id()));
        socket.close();
      }
    }

    /** Reads whole answers off the front of what came; each is recorded. */
    private void read(Buffer part) {
      if (left) {
        return;
      }
      read.appendBuffer(part);
      while (true) {
        String text = read.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        Matcher line = STATUS.matcher(text);
        if (end < 0 || !line.lookingAt()) {
          return;
        }
        String head = text.substring(0, end + 2);
        Matcher length = LENGTH.matcher(head);
        int whole = end + 4 + (length.find() ? Integer.parseInt(length.group(1)) : 0);
        if (read.length() < whole) {
          return;
        }
        recorder.add(
            new TraceEvent.Answered(
                TraceRecorder.now(), call.id(), Integer.parseInt(line.group(1))));
        if (status == 0) {
          status = Integer.parseInt(line.group(1));
          Matcher wait = WAIT.matcher(head);
          retryAfter = wait.find() ? Integer.parseInt(wait.group(1)) : 0;
        }
        read = read.getBuffer(whole, read.length());
      }
    }

    private void closed() {
      if (told) {
        return;
      }
      told = true;
      if (status == 0 && !left) {
        recorder.add(new TraceEvent.Broke(TraceRecorder.now(), call.id()));
      }
      ended.accept(new End(status, retryAfter, left));
    }
  }
}
