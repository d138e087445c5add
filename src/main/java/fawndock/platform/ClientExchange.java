package fawndock.platform;

import fawndock.resp.ReplyWriter;
import fawndock.runtime.ServerExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.BooleanSupplier;

/**
 * A client's request in flight and the slot for its response on the client's connection. Confined
 * to one event loop.
 */
final class ClientExchange implements ServerExchange {
  /** Estimate of all bytes other than the value, for the buffer's initial size. */
  private static final int FRAMING_BYTES = 16;

  private final ClientCommand command;
  private final ResponseQueue.Slot slot;
  private final BooleanSupplier isInputBacklogged;
  private boolean isSent;
  private boolean isAbandoned;

  /**
   * Creates an exchange.
   *
   * @param isInputBacklogged whether the client's connection has bytes that have not been received
   */
  ClientExchange(
      ClientCommand command, ResponseQueue.Slot slot, BooleanSupplier isInputBacklogged) {
    this.command = command;
    this.slot = slot;
    this.isInputBacklogged = isInputBacklogged;
  }

  /**
   * Returns whether bytes of the client may still be in the socket. Its disconnect would stand
   * behind them, and is not known yet.
   */
  boolean isInputBacklogged() {
    return isInputBacklogged.getAsBoolean();
  }

  /** Records that bytes of the command may be handed to the network, so that it may run. */
  void markSent() {
    isSent = true;
  }

  /** Records that the client will get no response. */
  void abandon() {
    isAbandoned = true;
  }

  /** Returns whether the request may have run without a response to its client. */
  boolean mayHaveRunUnanswered() {
    return isSent && isAbandoned;
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
