package fawndock.counter.replication;

import java.util.List;

/**
 * Sums to send to one peer, in one or more messages.
 *
 * @param sums changed sums, or a part of the full state
 * @param completesFullState whether the peer has the full state after this batch
 */
public record DeltaBatch(List<ReplicatedSum> sums, boolean completesFullState) {
  /** Returns whether there is nothing to send. */
  public boolean isEmpty() {
    return sums.isEmpty() && !completesFullState;
  }
}
