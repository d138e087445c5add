package fawndock.counter;

import java.util.ArrayList;
import java.util.List;

/** Commands that wait for EXEC; they are done in one turn and are in one record of the log. */
final class Transaction {
  static final int MAX_COMMANDS = 1_024;
  private static final int MAX_BYTES = 256 << 10;
  private final List<byte[][]> commands = new ArrayList<>();
  private int queuedBytes;
  private boolean isFailed;

  /** Queues a command; false when it is full, and the transaction can then only be discarded. */
  boolean add(byte[][] arguments) {
    for (byte[] argument : arguments) {
      queuedBytes += argument.length + 16;
    }
    // Guards against memory that a client fills without ever ending its transaction.
    if (commands.size() == MAX_COMMANDS || queuedBytes > MAX_BYTES) {
      isFailed = true;
      commands.clear();
      return false;
    }
    commands.add(arguments);
    return true;
  }

  /** A command of it was rejected when it was queued. */
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
