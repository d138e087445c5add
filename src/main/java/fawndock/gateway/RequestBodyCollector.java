package fawndock.gateway;

import fawndock.memory.PartialMessageMemory;
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
final class RequestBodyCollector implements PartialMessageMemory.Holder {
  /** Problem type of a body that was dropped because the memory for bodies is exhausted. */
  static final String NO_MEMORY = "memory";

  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");

  private final HttpServerRequest request;

  /** Null once the collector has ended, since the client may keep its request open for long. */
  private Buffer body;

  private final int maxBytes;
  private final PartialMessageMemory memory;
  private final Consumer<ProblemDetails> onProblem;

  /** Null once the collector has ended, as it refers to the body. */
  private Runnable onComplete;

  private Timers timers;
  private Timers.Timer timeout;
  private boolean isEnded;

  /**
   * Creates a collector that {@link #start} starts.
   *
   * @param body buffer that the chunks are appended to
   * @param memory memory of all bodies that have arrived in part
   */
  RequestBodyCollector(
      HttpServerRequest request,
      Buffer body,
      int maxBytes,
      PartialMessageMemory memory,
      Consumer<ProblemDetails> onProblem,
      Runnable onComplete) {
    this.request = request;
    this.body = body;
    this.maxBytes = maxBytes;
    this.memory = memory;
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
    this.timers = timers;
    timeout =
        timers.schedule(
            deadlineAtMicros - clock.nowMicros(), () -> end(() -> onProblem.accept(bodyTimeout())));
    request.exceptionHandler(e -> end(() -> {}));
    request.handler(this::onChunk);
    request.endHandler(v -> end(onComplete));
  }

  private void onChunk(Buffer chunk) {
    if (isEnded) {
      return;
    }
    body.appendBuffer(chunk);
    if (body.length() > maxBytes) {
      end(() -> onProblem.accept(tooLarge()));
    } else {
      memory.update(this, body.length(), false);
    }
  }

  @Override
  public void onEvicted() {
    end(() -> onProblem.accept(noMemory()));
  }

  /** Calls the callback unless the collector has already ended. */
  private void end(Runnable callback) {
    if (!isEnded) {
      isEnded = true;
      timers.cancel(timeout);
      memory.release(this);
      body = null;
      onComplete = null;
      callback.run();
    }
  }

  private static ProblemDetails bodyTimeout() {
    return new ProblemDetails(408, "slow", "Body came too late", "The time given ran out.");
  }

  private static ProblemDetails noMemory() {
    return new ProblemDetails(
        503, NO_MEMORY, "No memory for the body", "Trying again is harmless.");
  }

  private ProblemDetails tooLarge() {
    return new ProblemDetails(
        413, "size", "Body too large", "At most " + maxBytes + " bytes are taken.");
  }
}
