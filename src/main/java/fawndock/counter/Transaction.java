package fawndock.counter;

import java.util.ArrayList;
import java.util.List;

/**
 * The commands queued between MULTI and EXEC. They run without interruption, and their changes are
 * in one log record. Confined to the event loop.
 */
final class Transaction {
  static final int MAX_COMMANDS = 1_024;
  private static final int MAX_BYTES = 256 << 10;

  /** Memory of a command beside its arguments, which count with 16 bytes each. */
  private static final int COMMAND_OVERHEAD_BYTES = 64;

  private final List<byte[][]> commands = new ArrayList<>();
  private int queuedBytes;
  private boolean isFailed;

  /**
   * Queues a command. Returns false if the transaction is full, after which it can only be
   * discarded.
   */
  boolean add(byte[][] arguments) {
    for (byte[] argument : arguments) {
      queuedBytes += argument.length + 16;
    }
    // The limits keep a client that never ends its transaction from filling the memory.
    if (commands.size() == MAX_COMMANDS || queuedBytes > MAX_BYTES) {
      isFailed = true;
      commands.clear();
      return false;
    }
    commands.add(arguments);
    return true;
  }

  /** Returns the memory of the queued commands, in bytes. */
  int heldBytes() {
    return commands.isEmpty() ? 0 : queuedBytes + commands.size() * COMMAND_OVERHEAD_BYTES;
  }

  /** Records that a command was rejected instead of queued, so that EXEC fails. */
  void markFailed() {
    isFailed = true;
  }

  boolean isFailed() {
    return isFailed;
  }

  List<byte[][]> commands() {
    return commands;
  }
}
