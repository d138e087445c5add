package fawndock.counter.replication;

import java.util.List;

/**
 * Sums to be sent to one peer, in one or more messages.
 *
 * @param sums that changed, or a part of the full state
 * @param completesFullState whether the peer has the full state once it has these
 */
public record DeltaBatch(List<ReplicatedSum> sums, boolean completesFullState) {
  /** Whether there is nothing to send. */
  public boolean isEmpty() {
    return sums.isEmpty() && !completesFullState;
  }
}
