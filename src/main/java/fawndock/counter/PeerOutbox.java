package fawndock.counter;

import fawndock.counter.replication.DeltaBatch;
import fawndock.counter.replication.ReplicatedSum;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The {@code FD.TOLD} messages of one batch to one peer, of which at most one is in flight: a burst
 * would overrun the open group of the peer's log. Used on the event loop.
 */
final class PeerOutbox {
  /** Sums in one message; each makes at most three changes of some 1 KiB in the peer's log. */
  static final int SUMS_PER_MESSAGE = 100;

  private final String ownName;
  private final ArrayDeque<List<String>> messages = new ArrayDeque<>();
  private boolean isFirstInFlight;

  /**
   * @param ownName this node, as the sender in the messages
   */
  PeerOutbox(String ownName) {
    this.ownName = ownName;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Splits a batch into messages; a shard of the full state may be more than fits in one. */
  void addAll(DeltaBatch batch) {
    if (batch.isEmpty()) {
      return;
    }
    List<ReplicatedSum> sums = batch.sums();
    int from = 0;
    do {
      int to = Math.min(sums.size(), from + SUMS_PER_MESSAGE);
      boolean isLast = to == sums.size();
      messages.add(message(sums.subList(from, to), batch.completesFullState() && isLast));
      from = to;
    } while (from < sums.size());
  }

  private List<String> message(List<ReplicatedSum> sums, boolean completesFullState) {
    List<String> arguments =
        new ArrayList<>(List.of("FD.TOLD", ownName, completesFullState ? "1" : "0"));
    for (ReplicatedSum sum : sums) {
      arguments.add(sum.name());
      arguments.add(Long.toString(sum.origin()));
      arguments.add(sum.added().toString());
      arguments.add(sum.withdrawn().toString());
      arguments.add(Long.toString(sum.timeToLiveMillis()));
    }
    return arguments;
  }

  /** The next message to send, which is then in flight; null when there is none or one is. */
  List<String> takeForSending() {
    if (messages.isEmpty() || isFirstInFlight) {
      return null;
    }
    isFirstInFlight = true;
    return messages.peek();
  }

  /** The message in flight was rejected: it is sent again. */
  void onRejected() {
    isFirstInFlight = false;
  }

  /** The message in flight was confirmed. */
  void onConfirmed() {
    isFirstInFlight = false;
    messages.poll();
  }
}
