package fawndock.counter;

import fawndock.counter.replication.DeltaBatch;
import fawndock.counter.replication.ReplicatedSum;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Queues the {@code FD.TOLD} messages of one batch for one peer. At most one message is in flight,
 * because a burst would overflow the open commit group of the peer's log. Confined to the event
 * loop.
 */
final class PeerOutbox {
  /**
   * The maximum number of sums in a message. Each makes at most three changes of about 1 KiB in the
   * peer's log.
   */
  static final int SUMS_PER_MESSAGE = 100;

  private final String ownName;
  private final ArrayDeque<List<String>> messages = new ArrayDeque<>();
  private boolean isFirstInFlight;

  /**
   * @param ownName the name of this node, which the messages give as their sender
   */
  PeerOutbox(String ownName) {
    this.ownName = ownName;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /**
   * Splits a batch into messages, because a shard of the full state may not fit into one message.
   */
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

  /**
   * Returns the next message and marks it as in flight; returns null if there is none or if one is
   * already in flight.
   */
  List<String> takeForSending() {
    if (messages.isEmpty() || isFirstInFlight) {
      return null;
    }
    isFirstInFlight = true;
    return messages.peek();
  }

  /** Marks the message in flight, which the peer rejected, to be sent again. */
  void onRejected() {
    isFirstInFlight = false;
  }

  /** Removes the message in flight, which the peer confirmed. */
  void onConfirmed() {
    isFirstInFlight = false;
    messages.poll();
  }
}
