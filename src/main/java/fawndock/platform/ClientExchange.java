package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A command of a client's that the host holds, and its place among the answers of its connection.
 */
final class ClientExchange implements ServerExchange {
  private final ClientCommand command;
  private final ClientConnection.ResponseSlot place;

  ClientExchange(ClientCommand command, ClientConnection.ResponseSlot place) {
    this.command = command;
    this.place = place;
  }

  ClientCommand command() {
    return command;
  }

  @Override
  public RequestAttributes requestAttributes() {
    return command.asked();
  }

  /** Passes on the value that a worker gave for this request. */
  void serve(byte[] value) {
    ByteBuf out = Unpooled.buffer(value.length + 16);
    new ReplyWriter(out).bulk(value);
    place.respond(out);
  }

  @Override
  public void reject(long retryAfterMicros) {
    place.respondError("BUSY " + Math.max(0, (retryAfterMicros + 999) / 1_000));
  }

  @Override
  public void fail(boolean answered, String reason) {
    place.respondError(answered ? "ERR failed" : "ERR no answer in time");
  }
}
