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
 * One replica of a counter: decides whether it may answer, computes totals, and selects the sums to
 * send to its peers. It performs no I/O and reads no clock. Confined to one thread. Specification:
 * docs/design/counter-replication.md.
 */
public final class ReplicaNode {
  /**
   * Number of solo-start timeouts without a sum from any peer after which a node becomes ready
   * without its peers.
   */
  private static final int MAX_CATCH_UP_TIMEOUTS = 10;

  private final ReplicatedSums sums;
  private final FailureDetectorTimeouts timeouts;
  private final String id;
  private final long incarnation;
  private final Map<String, PeerState> peers = new TreeMap<>();
  private final OriginTable origins = new OriginTable();
  private final AddRateEstimator rateEstimator = new AddRateEstimator();
  private final long startMillis;
  private long lastPeerSumMillis;
  private boolean hasCaughtUp;
  private long membershipVersion;
  private long highestPeerVersion;

  /**
   * The membership list adopted since the start, or null while the list in the settings is used.
   */
  private MembershipList adoptedMembership;

  /**
   * Creates a node that has just started and uses the membership list in its settings.
   *
   * @param id name of this node
   * @param peerIds names of the other nodes on the list
   * @param epoch epoch of the list
   * @param incarnation number that is different at each start of this node
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
    this.startMillis = nowMillis;
    membershipVersion = MembershipList.settingsVersion(epoch);
    hasCaughtUp = peerIds.isEmpty();
    peerIds.forEach(peer -> addPeer(peer, nowMillis));
  }

  private void addPeer(String peer, long nowMillis) {
    peers.put(peer, new PeerState(nowMillis - timeouts.peerTimeoutMillis() - 1));
  }

  /**
   * Adopts a newer membership list and keeps all sums. New peers receive the full state once they
   * are alive.
   *
   * @return false if the node already uses this list or a newer one
   */
  public boolean adoptMembership(MembershipList list, long nowMillis) {
    if (list.version() <= membershipVersion) {
      return false;
    }
    membershipVersion = list.version();
    adoptedMembership = list;
    peers.keySet().retainAll(list.addresses().keySet());
    for (String peer : list.addresses().keySet()) {
      if (!peer.equals(id) && !peers.containsKey(peer)) {
        addPeer(peer, nowMillis);
      }
    }
    return true;
  }

  /** Returns the membership list adopted since the start, or null. */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /** Returns the adopted list if it is newer than a version of a sender, else null. */
  public MembershipList membershipNewerThan(long theirVersion) {
    return adoptedMembership != null && adoptedMembership.version() > theirVersion
        ? adoptedMembership
        : null;
  }

  /** Returns whether the node may answer gateways, and if not, why. */
  public NodeState state() {
    if (highestPeerVersion > membershipVersion
        || (adoptedMembership != null && !adoptedMembership.addresses().containsKey(id))) {
      return NodeState.FENCED;
    }
    return hasCaughtUp ? NodeState.READY : NodeState.CATCHING_UP;
  }

  /** Returns whether the node may answer gateways. */
  public boolean isReady() {
    return state() == NodeState.READY;
  }

  /** Returns the version of the membership list in use. */
  public long membershipVersion() {
    return membershipVersion;
  }

  /** Returns the other nodes on the membership list. */
  public Set<String> peers() {
    return peers.keySet();
  }

  /** Returns whether the last heartbeat of a peer is recent enough for it to be alive. */
  public boolean isPeerAlive(String peer, long nowMillis) {
    return peers.get(peer).isAlive(nowMillis, timeouts.peerTimeoutMillis());
  }

  /**
   * Returns the number of sums not sent to a peer yet, or -1 while the full state is being sent.
   */
  public int replicationLag(String peer) {
    return peers.get(peer).replicationLag();
  }

  /**
   * Merges the sum of a gateway and returns the total of the name. Merges nothing if it throws.
   *
   * @throws CommandException when this node may not answer or cannot store the sum
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
    rateEstimator.recordUse(sum.name(), nowMillis);
    return totalWithEstimate(sum.name(), nowMillis);
  }

  /** Merges a sum from a peer. */
  public void mergeFromPeer(String peer, ReplicatedSum sum, long nowMillis, ChangeRecord changes)
      throws CommandException {
    lastPeerSumMillis = nowMillis;
    merge(sum, peer, nowMillis, changes);
  }

  private void merge(ReplicatedSum sum, String sender, long nowMillis, ChangeRecord changes)
      throws CommandException {
    DecimalAmount growth = sums.merge(sum, nowMillis, changes);
    if (growth == null) {
      return;
    }
    rateEstimator.recordGrowth(
        sum.name(), sum.origin(), Double.parseDouble(growth.toString()), nowMillis);
    SumKey key = new SumKey(sum.name(), sum.origin());
    peers.forEach(
        (peer, state) -> {
          // Also to peers that the sender may have sent it to: a partition may separate those two.
          if (!peer.equals(sender)) {
            state.addChanged(key);
          }
        });
  }

  /**
   * Handles a stamp of a gateway, from its heartbeat or from that of a peer. Only a stamp higher
   * than all previous ones counts.
   *
   * @param stamp number that the gateway increases with each heartbeat
   */
  public void onOriginStamp(long origin, long stamp, long nowMillis) {
    origins.onStamp(origin, stamp, nowMillis);
  }

  /**
   * Returns the total, plus, while a peer is dead or partitioned, an estimate of what silent
   * origins may have added at that peer. If all peers are alive, a silent origin is adding at no
   * node, and no estimate is needed.
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
            estimate[0] += rateEstimator.estimateSince(name, origin, lastSeenMillis, nowMillis));
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

  /** Returns the heartbeat to send to every peer. */
  public Heartbeat nextHeartbeat(long nowMillis) {
    return new Heartbeat(
        membershipVersion, incarnation, isReady(), origins.announcedStamps(nowMillis));
  }

  /**
   * Handles a heartbeat of a peer; a peer that uses an older membership list does not count as
   * alive.
   */
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

  /** Handles the answer of a peer that this node is not on its membership list. */
  public void onUnknownToPeer(String peer, long nowMillis) {
    peers.get(peer).onUnknownToPeer(nowMillis);
  }

  /**
   * Handles the end of a full state transfer from a peer, which contains the sums that the peer had
   * when the transfer began; has no effect if the peer is no longer on the list.
   */
  public void onFullStateReceived(String from, long nowMillis) {
    PeerState peer = peers.get(from);
    if (peer != null) {
      peer.onFullStateReceived();
      updateReadiness(nowMillis);
    }
  }

  /**
   * Marks this node as caught up when at least one live peer is ready and every such peer has sent
   * its full state. One peer is not enough, since it may lag behind another.
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

  /**
   * Restarts overdue transfers, and lets a node become ready alone after it has waited for its
   * peers without success.
   */
  public void tick(long nowMillis) {
    for (PeerState peer : peers.values()) {
      if (peer.isBatchOverdue(nowMillis, timeouts.peerTimeoutMillis())) {
        peer.restartFullTransfer();
      }
    }
    updateReadiness(nowMillis);
    if (!hasCaughtUp && !isUnknownToAnyPeer(nowMillis)) {
      hasCaughtUp = canStartAlone(nowMillis);
    }
  }

  /**
   * Returns whether a peer recently reported that this node is not on its membership list. An empty
   * node must not become ready next to peers that do not know it yet; it waits for a membership
   * list that contains both.
   */
  private boolean isUnknownToAnyPeer(long nowMillis) {
    return peers.values().stream()
        .anyMatch(peer -> peer.isUnknownToPeer(nowMillis, timeouts.soloStartTimeoutMillis()));
  }

  /**
   * Returns whether the node may become ready without its peers, so that nodes do not wait for each
   * other forever. Its totals may then lack sums that only an unreachable node has; the estimate
   * does not cover them.
   */
  private boolean canStartAlone(long nowMillis) {
    long soloStartTimeout = timeouts.soloStartTimeoutMillis();
    boolean noPeerToAwait =
        peers.values().stream()
            .allMatch(
                peer ->
                    peer.hasSentFullState()
                        || nowMillis - Math.max(startMillis, peer.lastHeartbeatMillis())
                            >= soloStartTimeout);
    return (noPeerToAwait && nowMillis - startMillis >= soloStartTimeout)
        || nowMillis - Math.max(startMillis, lastPeerSumMillis)
            >= MAX_CATCH_UP_TIMEOUTS * soloStartTimeout;
  }

  /**
   * Returns the next batch for a peer, which is then in flight; empty while the peer is not alive
   * or has not acknowledged the previous batch.
   *
   * @param maxSums maximum number of sums; exceeded when needed to complete a shard of the full
   *     state
   */
  public DeltaBatch nextBatch(String to, int maxSums, long nowMillis) {
    PeerState peer = peers.get(to);
    if (peer.hasBatchInFlight() || !peer.isAlive(nowMillis, timeouts.peerTimeoutMillis())) {
      return new DeltaBatch(List.of(), false);
    }
    return peer.nextBatch(sums, maxSums, nowMillis);
  }

  /** Handles the answer to a part of the batch in flight. */
  public void onBatchProgress(String to, long nowMillis) {
    peers.get(to).onBatchProgress(nowMillis);
  }

  /** Handles the acknowledgement of the batch in flight. */
  public void onBatchAcknowledged(String to) {
    peers.get(to).onBatchAcknowledged();
  }

  /** Sends the full state again, because the batch in flight may be lost. */
  public void restartFullTransfer(String to) {
    peers.get(to).restartFullTransfer();
  }
}
