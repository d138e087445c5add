package fawndock.gateway;

import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Collects the body of one request, which a retry may need again, up to a size and a time. Ends at
 * most once: complete, as a problem, or not at all when the client disconnects. One context.
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
   * A collector that {@link #start} starts.
   *
   * @param body that chunks are added to
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
   * Collects until the deadline.
   *
   * @throws ProblemException at once, for a stated length that is too large or cannot be read
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
      onComplete.run(); // No body can come (RFC 9112, 6.3).
      return;
    }
    Timers.Timer timeout =
        timers.schedule(
            deadlineAtMicros - clock.nowMicros(), () -> end(() -> onProblem.accept(slow())));
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
        end -> {
          timers.cancel(timeout);
          end(onComplete);
        });
  }

  private void end(Runnable how) {
    if (!isEnded) {
      isEnded = true;
      how.run();
    }
  }

  private static ProblemDetails slow() {
    return new ProblemDetails(408, "slow", "Body came too late", "The time given ran out.");
  }

  private ProblemDetails tooLarge() {
    return new ProblemDetails(
        413, "size", "Body too large", "At most " + maxBytes + " bytes are taken.");
  }
}
