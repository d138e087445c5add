package fawndock.ratelimit;

import fawndock.memory.PartialMessageMemory;
import io.vertx.core.http.HttpServerRequest;

/**
 * Bounds the memory of calls whose request message has not arrived as a whole. What has arrived of
 * it is held by the gRPC library, so each call counts as the longest message; beyond the limit the
 * oldest call is reset. Confined to one event loop.
 */
final class IncompleteCalls {
  /** HTTP/2 error code ENHANCE_YOUR_CALM (RFC 9113, section 7). */
  private static final int ENHANCE_YOUR_CALM = 0xb;

  private final PartialMessageMemory memory;
  private final long maxMessageBytes;

  /**
   * Creates an empty set of calls.
   *
   * @param maxBytes limit in bytes of all calls together
   * @param maxMessageBytes longest message that the library accepts
   */
  IncompleteCalls(long maxBytes, long maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
    memory = new PartialMessageMemory(maxBytes, () -> System.nanoTime() / 1_000);
  }

  /** A call that waits for its message. */
  final class IncompleteCall implements PartialMessageMemory.Holder {
    private final HttpServerRequest request;

    private IncompleteCall(HttpServerRequest request) {
      this.request = request;
    }

    /** Counts the call no more: its message has arrived, or it has ended. Idempotent. */
    void end() {
      memory.release(this);
    }

    @Override
    public void onEvicted() {
      var unused = request.response().reset(ENHANCE_YOUR_CALM); // The stream may have ended.
    }
  }

  /** Counts a call whose head has arrived. */
  IncompleteCall begin(HttpServerRequest request) {
    IncompleteCall call = new IncompleteCall(request);
    memory.update(call, maxMessageBytes, false);
    return call;
  }
}
