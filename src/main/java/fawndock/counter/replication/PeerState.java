package fawndock.counter.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One peer as a node sees it: whether it is alive, and which sums it has yet to be sent. A peer is
 * sent the full state first, shard by shard, then what changed; at most one batch is in flight.
 * Used from one thread.
 */
final class PeerState {
  /** Changed sums that wait for a peer; beyond it the full state is sent again. */
  private static final int MAX_CHANGED_SUMS = 100_000;

  private static final int NO_FULL_TRANSFER = -1;
  private static final long NONE_IN_FLIGHT = -1;

  private long lastHeartbeatMillis;

  /** The incarnation in its last heartbeat, or null before the first. */
  private Long incarnation;

  private boolean isReady;
  private boolean hasSentFullState;

  /** When it last answered that this node is not on its membership list. */
  private long rejectedByPeerAtMillis = Long.MIN_VALUE / 2;

  private final Set<SumKey> changed = new LinkedHashSet<>();
  private int nextShard;
  private long batchSentMillis = NONE_IN_FLIGHT;

  /**
   * A peer without a heartbeat yet.
   *
   * @param lastHeartbeatMillis long enough ago for it to count as dead
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

  /** Whether it has sent all that it had when it began to, since its last start. */
  boolean hasSentFullState() {
    return hasSentFullState;
  }

  void onFullStateReceived() {
    hasSentFullState = true;
  }

  void onUnknownToPeer(long nowMillis) {
    rejectedByPeerAtMillis = nowMillis;
  }

  boolean isUnknownToPeer(long nowMillis, long timeoutMillis) {
    return nowMillis - rejectedByPeerAtMillis <= timeoutMillis;
  }

  /**
   * What it missed while it was away, or lost by a restart, is not known: the full state goes out.
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
    changed.add(key);
    if (changed.size() > MAX_CHANGED_SUMS) {
      changed.clear();
      nextShard = 0;
    }
  }

  /** Sums that it has yet to be sent; -1 while that is the full state. */
  int replicationLag() {
    return nextShard >= 0 ? -1 : changed.size();
  }

  boolean hasBatchInFlight() {
    return batchSentMillis >= 0;
  }

  boolean isBatchOverdue(long nowMillis, long timeoutMillis) {
    return hasBatchInFlight() && nowMillis - batchSentMillis > timeoutMillis;
  }

  /** A part of the batch was answered: the rest is on its way. */
  void onBatchProgress(long nowMillis) {
    batchSentMillis = nowMillis;
  }

  void onBatchAcknowledged() {
    batchSentMillis = NONE_IN_FLIGHT;
  }

  /** What was sent may not have arrived: the full state is sent again. */
  void restartFullTransfer() {
    nextShard = 0;
    batchSentMillis = NONE_IN_FLIGHT;
    changed.clear();
  }

  /**
   * Takes the next batch, which is then in flight.
   *
   * @param maxSums beyond which no more are added; a shard is never cut
   */
  DeltaBatch nextBatch(ReplicatedSums sums, int maxSums, long nowMillis) {
    List<ReplicatedSum> next = new ArrayList<>();
    boolean completesFullState = addShards(sums, maxSums, nowMillis, next);
    Iterator<SumKey> keys = changed.iterator();
    while (next.size() < maxSums && keys.hasNext()) {
      SumKey key = keys.next();
      keys.remove();
      ReplicatedSum sum = sums.sumOf(key.name(), key.origin(), nowMillis);
      if (sum != null) { // Null when it has expired meanwhile.
        next.add(sum);
      }
    }
    batchSentMillis = next.isEmpty() && !completesFullState ? NONE_IN_FLIGHT : nowMillis;
    return new DeltaBatch(next, completesFullState);
  }

  private boolean addShards(
      ReplicatedSums sums, int maxSums, long nowMillis, List<ReplicatedSum> next) {
    while (nextShard >= 0 && next.size() < maxSums) {
      sums.visitShard(nextShard++, nowMillis, next::add);
      if (nextShard == sums.shardCount()) {
        nextShard = NO_FULL_TRANSFER;
        return true;
      }
    }
    return false;
  }
}
