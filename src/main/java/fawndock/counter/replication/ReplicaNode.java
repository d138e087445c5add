package fawndock.counter.replication;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One node of several replicas: whether it may answer, with which total, and what it has to send
 * its peers. No I/O and no clock; used from one thread. Specification:
 * docs/design/counter-replication.md.
 */
public final class ReplicaNode {
  /**
   * A node that gets no sum from any peer for this many solo-start timeouts becomes ready without
   * them.
   */
  private static final int MAX_CATCH_UP_TIMEOUTS = 10;

  private final ReplicatedSums sums;
  private final FailureDetectorTimeouts timeouts;
  private final String id;
  private final long incarnation;
  private final Map<String, PeerState> peers = new TreeMap<>();
  private final OriginTable origins = new OriginTable();
  private final AddRateEstimator rates = new AddRateEstimator();
  private final long startedMillis;
  private long lastPeerSumMillis;
  private boolean hasCaughtUp;
  private long membershipVersion;
  private long highestPeerVersion;

  /** The list that was given while it ran, or null while it uses the one in its settings. */
  private MembershipList adoptedMembership;

  /**
   * A node that has just started, with the list in its settings.
   *
   * @param id its own name
   * @param peerIds the names of the others on the list
   * @param epoch of the list
   * @param incarnation that no start of this node had before
   */
  public ReplicaNode(
      String id,
      List<String> peerIds,
      long epoch,
      long incarnation,
      FailureDetectorTimeouts timeouts,
      ReplicatedSums sums,
      long nowMillis) {
    this.id = id;
    this.sums = sums;
    this.timeouts = timeouts;
    this.incarnation = incarnation;
    this.startedMillis = nowMillis;
    membershipVersion = MembershipList.settingsVersion(epoch);
    hasCaughtUp = peerIds.isEmpty();
    peerIds.forEach(each -> addPeer(each, nowMillis));
  }

  private void addPeer(String peer, long nowMillis) {
    peers.put(peer, new PeerState(nowMillis - timeouts.peerTimeoutMillis() - 1));
  }

  /**
   * Uses a newer membership list; what was counted stays. Peers that are on it for the first time
   * are sent the full state once they are alive.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adoptMembership(MembershipList list, long nowMillis) {
    if (list.version() <= membershipVersion) {
      return false;
    }
    membershipVersion = list.version();
    adoptedMembership = list;
    peers.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      if (!each.equals(id) && !peers.containsKey(each)) {
        addPeer(each, nowMillis);
      }
    }
    return true;
  }

  /** The list that was given while it ran, or null. */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /** The list to answer one that uses an older version; null when there is none to give. */
  public MembershipList membershipNewerThan(long theirVersion) {
    return adoptedMembership != null && adoptedMembership.version() > theirVersion
        ? adoptedMembership
        : null;
  }

  /** Whether it may answer gateways, and if not why. */
  public NodeState state() {
    if (highestPeerVersion > membershipVersion
        || (adoptedMembership != null && !adoptedMembership.addresses().containsKey(id))) {
      return NodeState.FENCED;
    }
    return hasCaughtUp ? NodeState.READY : NodeState.CATCHING_UP;
  }

  /** Whether it may answer gateways. */
  public boolean isReady() {
    return state() == NodeState.READY;
  }

  /** The version of the membership list that it uses. */
  public long membershipVersion() {
    return membershipVersion;
  }

  /** The other nodes on the membership list. */
  public Set<String> peers() {
    return peers.keySet();
  }

  /** Whether a peer's last heartbeat is recent. */
  public boolean isPeerAlive(String peer, long nowMillis) {
    return peers.get(peer).isAlive(nowMillis, timeouts.peerTimeoutMillis());
  }

  /** Sums that a peer has yet to be sent; -1 for the full state. */
  public int replicationLag(String peer) {
    return peers.get(peer).replicationLag();
  }

  /**
   * Merges a gateway's sum and returns the total of the name. Nothing is merged when it throws.
   *
   * @throws CommandException when this node may not answer, or cannot take the sum
   */
  public DecimalAmount mergeAndTotal(ReplicatedSum sum, long nowMillis, ChangeRecord changes)
      throws CommandException {
    switch (state()) {
      case FENCED ->
          throw new CommandException("FENCED a newer list of nodes is in use, nothing was added");
      case CATCHING_UP ->
          throw new CommandException(
              "LOADING this node has not caught up with the others, nothing was added");
      case READY -> merge(sum, "", nowMillis, changes);
    }
    rates.recordUse(sum.name(), nowMillis);
    return totalWithEstimate(sum.name(), nowMillis);
  }

  /** Merges a sum that a peer sent. */
  public void mergeFromPeer(String peer, ReplicatedSum sum, long nowMillis, ChangeRecord changes)
      throws CommandException {
    lastPeerSumMillis = nowMillis;
    merge(sum, peer, nowMillis, changes);
  }

  private void merge(ReplicatedSum sum, String sender, long nowMillis, ChangeRecord changes)
      throws CommandException {
    DecimalAmount grown = sums.merge(sum, nowMillis, changes);
    if (grown == null) {
      return;
    }
    rates.recordGrowth(sum.name(), sum.origin(), Double.parseDouble(grown.toString()), nowMillis);
    SumKey key = new SumKey(sum.name(), sum.origin());
    peers.forEach(
        (peer, state) -> {
          // Also to peers that the sender can reach: those two may be cut from each other.
          if (!peer.equals(sender)) {
            state.addChanged(key);
          }
        });
  }

  /**
   * A gateway sent a heartbeat, or a peer passed on that it did. Only a stamp above the highest
   * before counts.
   *
   * @param stamp of the gateway's own, which it raises each time
   */
  public void onOriginStamp(long origin, long stamp, long nowMillis) {
    origins.onStamp(origin, stamp, nowMillis);
  }

  /**
   * The total, and while a peer is dead or cut off an estimate of what origins that are silent may
   * have added there. When all peers are alive a silent origin counts nowhere: no estimate.
   */
  private DecimalAmount totalWithEstimate(String name, long nowMillis) throws CommandException {
    DecimalAmount total = sums.total(name, nowMillis);
    if (areAllPeersAlive(nowMillis)) {
      return total;
    }
    double[] estimate = {0};
    origins.visitSilent(
        nowMillis,
        timeouts.peerTimeoutMillis(),
        (origin, lastSeenMillis) ->
            estimate[0] += rates.estimateSince(name, origin, lastSeenMillis, nowMillis));
    if (estimate[0] <= 0) {
      return total;
    }
    String rounded = Long.toString(Math.round(estimate[0]));
    return total.plus(DecimalAmount.parse(rounded.getBytes(StandardCharsets.US_ASCII)));
  }

  private boolean areAllPeersAlive(long nowMillis) {
    for (PeerState peer : peers.values()) {
      if (!peer.isAlive(nowMillis, timeouts.peerTimeoutMillis())) {
        return false;
      }
    }
    return true;
  }

  /** The heartbeat to send to every peer now. */
  public Heartbeat nextHeartbeat(long nowMillis) {
    return new Heartbeat(
        membershipVersion, incarnation, isReady(), origins.announcedStamps(nowMillis));
  }

  /** A peer's heartbeat; one that uses an older membership list does not count as alive. */
  public void onHeartbeat(String from, Heartbeat heartbeat, long nowMillis) {
    PeerState peer = peers.get(from);
    highestPeerVersion = Math.max(highestPeerVersion, heartbeat.membershipVersion());
    if (peer == null || heartbeat.membershipVersion() < membershipVersion) {
      return;
    }
    peer.onHeartbeat(heartbeat, nowMillis, timeouts.peerTimeoutMillis());
    updateReadiness(nowMillis);
    heartbeat.originStamps().forEach((origin, stamp) -> onOriginStamp(origin, stamp, nowMillis));
  }

  /** A peer answered that this node is not on its membership list. */
  public void onUnknownToPeer(String peer, long nowMillis) {
    peers.get(peer).onUnknownToPeer(nowMillis);
  }

  /** A peer has sent all that it had when it began to; nothing when it is off the list. */
  public void onFullStateReceived(String from, long nowMillis) {
    PeerState peer = peers.get(from);
    if (peer != null) {
      peer.onFullStateReceived();
      updateReadiness(nowMillis);
    }
  }

  /**
   * Ready when there is an alive peer that is ready, and each such peer has sent its full state:
   * one of them alone may lag behind another.
   */
  private void updateReadiness(long nowMillis) {
    boolean hasSource = false;
    for (PeerState peer : peers.values()) {
      if (peer.isReady() && peer.isAlive(nowMillis, timeouts.peerTimeoutMillis())) {
        if (!peer.hasSentFullState()) {
          return;
        }
        hasSource = true;
      }
    }
    hasCaughtUp |= hasSource;
  }

  /** Starts overdue transfers again; a node that has waited in vain for its peers starts alone. */
  public void tick(long nowMillis) {
    for (PeerState peer : peers.values()) {
      if (peer.isBatchOverdue(nowMillis, timeouts.peerTimeoutMillis())) {
        peer.restartFullTransfer();
      }
    }
    updateReadiness(nowMillis);
    if (!hasCaughtUp && !isUnknownToAnyPeer(nowMillis)) {
      hasCaughtUp = mayStartAlone(nowMillis);
    }
  }

  /**
   * Guards against a node that starts empty beside others that do not know it yet: it waits for a
   * membership list that has both.
   */
  private boolean isUnknownToAnyPeer(long nowMillis) {
    return peers.values().stream()
        .anyMatch(peer -> peer.isUnknownToPeer(nowMillis, timeouts.soloStartTimeoutMillis()));
  }

  /**
   * Guards against a cluster in which each node waits for another. It may then answer with less
   * than a node that cannot be reached has; the estimate does not know of that either.
   */
  private boolean mayStartAlone(long nowMillis) {
    long soloStartTimeout = timeouts.soloStartTimeoutMillis();
    boolean noPeerToWaitFor =
        peers.values().stream()
            .allMatch(
                peer ->
                    peer.hasSentFullState()
                        || nowMillis - Math.max(startedMillis, peer.lastHeartbeatMillis())
                            >= soloStartTimeout);
    return (noPeerToWaitFor && nowMillis - startedMillis >= soloStartTimeout)
        || nowMillis - Math.max(startedMillis, lastPeerSumMillis)
            >= MAX_CATCH_UP_TIMEOUTS * soloStartTimeout;
  }

  /**
   * Takes the next batch for a peer; empty while the peer is not alive, or has not confirmed the
   * last one.
   *
   * @param maxSums in the batch; a shard of the full state may be more
   */
  public DeltaBatch nextBatch(String to, int maxSums, long nowMillis) {
    PeerState peer = peers.get(to);
    if (peer.hasBatchInFlight() || !peer.isAlive(nowMillis, timeouts.peerTimeoutMillis())) {
      return new DeltaBatch(List.of(), false);
    }
    return peer.nextBatch(sums, maxSums, nowMillis);
  }

  /** A part of the batch in flight was answered: the rest is on its way. */
  public void onBatchProgress(String to, long nowMillis) {
    peers.get(to).onBatchProgress(nowMillis);
  }

  /** The batch in flight has arrived. */
  public void onBatchAcknowledged(String to) {
    peers.get(to).onBatchAcknowledged();
  }

  /** The batch in flight may not have arrived: the full state is sent again. */
  public void restartFullTransfer(String to) {
    peers.get(to).restartFullTransfer();
  }
}
