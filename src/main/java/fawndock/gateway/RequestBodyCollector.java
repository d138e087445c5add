package fawndock.gateway;

import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Buffers the body of one request, so that a retry can send it again, up to a maximum size and a
 * deadline. It calls at most one of its callbacks: completion, a problem, or neither if the client
 * disconnects. The collector is confined to one event-loop context.
 */
final class RequestBodyCollector {
  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");

  private final HttpServerRequest request;
  private final Buffer body;
  private final int maxBytes;
  private final Consumer<ProblemDetails> onProblem;
  private final Runnable onComplete;
  private boolean isEnded;

  /**
   * Creates a collector that {@link #start} starts.
   *
   * @param body buffer that the chunks are appended to
   */
  RequestBodyCollector(
      HttpServerRequest request,
      Buffer body,
      int maxBytes,
      Consumer<ProblemDetails> onProblem,
      Runnable onComplete) {
    this.request = request;
    this.body = body;
    this.maxBytes = maxBytes;
    this.onProblem = onProblem;
    this.onComplete = onComplete;
  }

  /**
   * Starts to collect the body, until the deadline at the latest.
   *
   * @throws ProblemException if the Content-Length is too large or invalid
   */
  void start(long deadlineAtMicros, MicroClock clock, Timers timers) {
    String length = request.getHeader("content-length");
    if (length != null
        && (!CONTENT_LENGTH.matcher(length).matches() || Long.parseLong(length) > maxBytes)) {
      throw new ProblemException(tooLarge());
    }
    if (length == null
        && request.version() != HttpVersion.HTTP_2
        && !request.headers().contains("transfer-encoding")) {
      onComplete.run(); // The request has no body (RFC 9112, section 6.3).
      return;
    }
    Timers.Timer timeout =
        timers.schedule(
            deadlineAtMicros - clock.nowMicros(), () -> end(() -> onProblem.accept(bodyTimeout())));
    request.exceptionHandler(
        e -> {
          isEnded = true;
          timers.cancel(timeout);
        });
    request.handler(
        chunk -> {
          body.appendBuffer(chunk);
          if (!isEnded && body.length() > maxBytes) {
            timers.cancel(timeout);
            end(() -> onProblem.accept(tooLarge()));
          }
        });
    request.endHandler(
        v -> {
          timers.cancel(timeout);
          end(onComplete);
        });
  }

  /** Calls the callback unless the collector has already ended. */
  private void end(Runnable callback) {
    if (!isEnded) {
      isEnded = true;
      callback.run();
    }
  }

  private static ProblemDetails bodyTimeout() {
    return new ProblemDetails(408, "slow", "Body came too late", "The time given ran out.");
  }

  private ProblemDetails tooLarge() {
    return new ProblemDetails(
        413, "size", "Body too large", "At most " + maxBytes + " bytes are taken.");
  }
}
