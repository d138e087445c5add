package fawndock.counter.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * State of one peer as seen by a node: whether it is alive, and which sums it has not been sent
 * yet. A peer receives the full state first, shard by shard, then the changed sums; at most one
 * batch is in flight. Confined to one thread.
 */
final class PeerState {
  /**
   * Maximum number of changed sums that wait for a peer; beyond it the full state is sent again.
   */
  private static final int MAX_CHANGED_SUMS = 100_000;

  private static final int NO_FULL_TRANSFER = -1;
  private static final long NO_BATCH_IN_FLIGHT = -1;

  private long lastHeartbeatMillis;

  /** Incarnation in the last heartbeat, or null before the first. */
  private Long incarnation;

  private boolean isReady;
  private boolean hasSentFullState;

  /** When the peer last answered that this node is not on its membership list. */
  private long lastUnknownToPeerMillis = Long.MIN_VALUE / 2;

  private final Set<SumKey> changedSums = new LinkedHashSet<>();
  private int nextShard;
  private long batchSentMillis = NO_BATCH_IN_FLIGHT;

  /**
   * Creates the state of a peer that has not sent a heartbeat yet.
   *
   * @param lastHeartbeatMillis time old enough for the peer to count as dead
   */
  PeerState(long lastHeartbeatMillis) {
    this.lastHeartbeatMillis = lastHeartbeatMillis;
  }

  boolean isAlive(long nowMillis, long timeoutMillis) {
    return nowMillis - lastHeartbeatMillis <= timeoutMillis;
  }

  long lastHeartbeatMillis() {
    return lastHeartbeatMillis;
  }

  boolean isReady() {
    return isReady;
  }

  /**
   * Returns whether the peer has sent its full state, as of the start of the transfer, since its
   * last start.
   */
  boolean hasSentFullState() {
    return hasSentFullState;
  }

  void onFullStateReceived() {
    hasSentFullState = true;
  }

  void onUnknownToPeer(long nowMillis) {
    lastUnknownToPeerMillis = nowMillis;
  }

  boolean isUnknownToPeer(long nowMillis, long timeoutMillis) {
    return nowMillis - lastUnknownToPeerMillis <= timeoutMillis;
  }

  /**
   * Handles a heartbeat. After a restart or a time without heartbeats it is unknown what the peer
   * lacks, so the full state is sent again.
   */
  void onHeartbeat(Heartbeat heartbeat, long nowMillis, long timeoutMillis) {
    boolean hasRestarted = incarnation != null && incarnation != heartbeat.incarnation();
    if (!isAlive(nowMillis, timeoutMillis) || hasRestarted) {
      restartFullTransfer();
      hasSentFullState &= !hasRestarted;
    }
    incarnation = heartbeat.incarnation();
    lastHeartbeatMillis = nowMillis;
    isReady = heartbeat.isReady();
  }

  void addChanged(SumKey key) {
    changedSums.add(key);
    if (changedSums.size() > MAX_CHANGED_SUMS) {
      changedSums.clear();
      nextShard = 0;
    }
  }

  /**
   * Returns the number of sums not sent to the peer yet, or -1 while the full state is being sent.
   */
  int replicationLag() {
    return nextShard >= 0 ? -1 : changedSums.size();
  }

  boolean hasBatchInFlight() {
    return batchSentMillis >= 0;
  }

  boolean isBatchOverdue(long nowMillis, long timeoutMillis) {
    return hasBatchInFlight() && nowMillis - batchSentMillis > timeoutMillis;
  }

  /** Handles the answer to a part of the batch; the rest is still in flight. */
  void onBatchProgress(long nowMillis) {
    batchSentMillis = nowMillis;
  }

  void onBatchAcknowledged() {
    batchSentMillis = NO_BATCH_IN_FLIGHT;
  }

  /** Sends the full state again, because the batch in flight may be lost. */
  void restartFullTransfer() {
    nextShard = 0;
    batchSentMillis = NO_BATCH_IN_FLIGHT;
    changedSums.clear();
  }

  /**
   * Returns the next batch, which is then in flight.
   *
   * @param maxSums maximum number of sums; exceeded when needed to complete a shard
   */
  DeltaBatch nextBatch(ReplicatedSums sums, int maxSums, long nowMillis) {
    List<ReplicatedSum> batchSums = new ArrayList<>();
    boolean completesFullState = addShards(sums, maxSums, nowMillis, batchSums);
    Iterator<SumKey> keys = changedSums.iterator();
    while (batchSums.size() < maxSums && keys.hasNext()) {
      SumKey key = keys.next();
      keys.remove();
      ReplicatedSum sum = sums.sumOf(key.name(), key.origin(), nowMillis);
      if (sum != null) { // Null if the name has expired meanwhile.
        batchSums.add(sum);
      }
    }
    batchSentMillis = batchSums.isEmpty() && !completesFullState ? NO_BATCH_IN_FLIGHT : nowMillis;
    return new DeltaBatch(batchSums, completesFullState);
  }

  private boolean addShards(
      ReplicatedSums sums, int maxSums, long nowMillis, List<ReplicatedSum> batchSums) {
    while (nextShard >= 0 && batchSums.size() < maxSums) {
      sums.visitShard(nextShard++, nowMillis, batchSums::add);
      if (nextShard == sums.shardCount()) {
        nextShard = NO_FULL_TRANSFER;
        return true;
      }
    }
    return false;
  }
}
