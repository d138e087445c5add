package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** A client's request in flight, and the slot for its response on the client's connection. */
final class ClientExchange implements ServerExchange {
  private static final int HEADER_BYTES = 16;

  private final ClientCommand command;
  private final ClientConnection.ResponseSlot slot;

  ClientExchange(ClientCommand command, ClientConnection.ResponseSlot slot) {
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

  /** Responds with the value that an endpoint gave. */
  void serve(byte[] value) {
    ByteBuf out = Unpooled.buffer(value.length + HEADER_BYTES);
    new ReplyWriter(out).bulkString(value);
    slot.respond(out);
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
