package fawndock.platform;

import fawndock.policy.action.AddToCounter;
import fawndock.resp.Reply;
import fawndock.resp.ReplyWriter;
import fawndock.runtime.CounterReplySequencer;
import fawndock.runtime.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.math.BigDecimal;

/**
 * One {@code ADDGET} call in flight and the encoding of its command and reply. Confined to one
 * event loop.
 */
final class CounterCall extends CounterReplySequencer.PendingCall {
  private static final int COMMAND_BYTES = 128;
  private static final int MAX_TOTAL_CHARACTERS = 39;
  private static final String NUMBER_TYPE_SUFFIXES = "dDfF";

  private final AddToCounter action;

  /**
   * Whether the whole command was handed to the network, so that the counter may have added the
   * amount.
   */
  boolean isWriteComplete;

  /** Timer of the call's timeout; null once it has fired. */
  Timers.Timer timeoutTimer;

  CounterCall(AddToCounter action, long startedAtMicros) {
    super(action.counterName(), startedAtMicros);
    this.action = action;
  }

  ByteBuf encode() {
    long timeToLiveMillis = Math.max(1, (action.timeToLiveMicros() + 999) / 1_000);
    ByteBuf command = Unpooled.buffer(COMMAND_BYTES);
    ReplyWriter writer = new ReplyWriter(command);
    writer.beginArray(4);
    writer.bulkString(PlatformProtocol.COMMAND_ADD_AND_GET);
    writer.bulkString(action.counterName());
    writer.bulkString(encodeAmount(action.amount()));
    writer.bulkString(Long.toString(timeToLiveMillis));
    return command;
  }

  /** Encodes a decimal number without an exponent. */
  static String encodeAmount(double amount) {
    boolean isSmallInteger = amount == Math.rint(amount) && Math.abs(amount) < 1e9;
    return isSmallInteger
        ? Long.toString((long) amount)
        : BigDecimal.valueOf(amount).toPlainString();
  }

  /** Returns the total that a reply holds, or null if it holds none. */
  static Double decodeTotal(Reply reply) {
    if (!reply.isBulk()) {
      return null;
    }
    String text = reply.text();
    try {
      double total = Double.parseDouble(text);
      boolean isNumber =
          Double.isFinite(total)
              && text.length() <= MAX_TOTAL_CHARACTERS
              && NUMBER_TYPE_SUFFIXES.indexOf(text.charAt(text.length() - 1)) < 0;
      return isNumber ? total : null;
    } catch (NumberFormatException e) {
      return null; // The caller treats the reply as malformed.
    }
  }
}
