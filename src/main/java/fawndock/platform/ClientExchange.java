package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A client's request in flight and the slot for its response on the client's connection. Confined
 * to one event loop.
 */
final class ClientExchange implements ServerExchange {
  /** Estimate of all bytes other than the value, for the buffer's initial size. */
  private static final int FRAMING_BYTES = 16;

  private final ClientCommand command;
  private final ResponseQueue.Slot slot;

  ClientExchange(ClientCommand command, ResponseQueue.Slot slot) {
    this.command = command;
    this.slot = slot;
  }

  ClientCommand command() {
    return command;
  }

  @Override
  public RequestAttributes requestAttributes() {
    return command.attributes();
  }

  /** Responds with the value of an endpoint's reply. */
  void respondValue(byte[] value) {
    ByteBuf out = Unpooled.buffer(value.length + FRAMING_BYTES);
    new ReplyWriter(out).bulkString(value);
    slot.respondValue(out);
  }

  @Override
  public void reject(long retryAfterMicros) {
    long retryAfterMillis = Math.max(0, (retryAfterMicros + 999) / 1_000);
    slot.respondError(PlatformProtocol.ERROR_REJECTED + " " + retryAfterMillis);
  }

  @Override
  public void fail(boolean hasLastAttemptFailed, String reason) {
    slot.respondError(
        hasLastAttemptFailed ? PlatformProtocol.ERROR_FAILED : PlatformProtocol.ERROR_TIMEOUT);
  }
}
