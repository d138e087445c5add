package fawndock.counter.replication;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One node of several: whether it may answer, with what, and what it has to tell the others. */
public final class ReplicaNode {
  /**
   * What nodes tell each other all the time.
   *
   * @param membershipVersion of the list of nodes that it goes by
   * @param incarnation of the node; another one than before tells that it has started again
   * @param isReady whether it answers
   * @param originStamps of each gatekeeper that was heard of late, by it or others, the highest
   *     stamp
   */
  public record Heartbeat(
      long membershipVersion, long incarnation, boolean isReady, Map<Long, Long> originStamps) {}

  /**
   * Sums for another node.
   *
   * @param completesFullState whether with these it has been told everything
   */
  public record DeltaBatch(List<ReplicatedSum> sums, boolean completesFullState) {
    /** Whether there is nothing to send. */
    public boolean isEmpty() {
      return sums.isEmpty() && !completesFullState;
    }
  }

  /**
   * Times, in milliseconds.
   *
   * @param peerTimeoutMillis after which a silent node counts as cut off or dead
   * @param soloStartTimeoutMillis after which a node that reaches no other answers by itself; at
   *     least missing
   */
  public record FailureDetectorTimeouts(long peerTimeoutMillis, long soloStartTimeoutMillis) {}

  /** Changed sums that wait for a node; beyond it everything is told again. */
  private static final int MAX_CHANGED_SUMS = 100_000;

  private static final int MAX_ORIGINS = 4_096;

  /**
   * Of silence after which a gatekeeper is no more told of, and much later forgotten, in
   * milliseconds.
   */
  private static final long ORIGIN_ANNOUNCED_MILLIS = 30_000;

  private static final long ORIGIN_RETENTION_MILLIS = 3_600_000;

  /** The highest stamp of a gatekeeper, and when it was first heard here. */
  private record OriginState(long stamp, long at) {}

  private record SumKey(String name, long origin) {}

  /** What is known of another node, and what it has yet to be told. */
  private static final class PeerState {
    long heardAt;

    /** Which start of it was heard, or null. */
    Long start;

    boolean ready;
    boolean gaveAll;

    /** When it last answered that this node is not on its list. */
    long strangeAt = Long.MIN_VALUE / 2;

    Set<SumKey> changed = new LinkedHashSet<>();

    /** Next shard of everything to be told, or -1 when that is done. */
    int shard;

    /** When what was taken for it last was sent, or -1 when that has arrived. */
    long sentAt = -1;
  }

  private final ReplicatedSums sums;
  private final FailureDetectorTimeouts timeouts;
  private final String id;
  private final long incarnation;
  private final Map<String, PeerState> peers = new TreeMap<>();
  private final Map<Long, OriginState> origins = new HashMap<>();
  private final AddRateEstimator rates = new AddRateEstimator();
  private final long startedMillis;
  private long lastPeerSumMillis;
  private boolean isReady;
  private long membershipVersion;
  private long highestPeerVersion;

  /** The list that was given while it ran, or null while it goes by the one in its settings. */
  private MembershipList adoptedMembership;

  /**
   * A node that has just started, by the list in its settings.
   *
   * @param id its own name
   * @param others the names of the others on the list
   * @param epoch of the list
   * @param start that no start of this node had before
   */
  public ReplicaNode(
      String id,
      List<String> others,
      long epoch,
      long start,
      FailureDetectorTimeouts times,
      ReplicatedSums sums,
      long now) {
    this.id = id;
    this.sums = sums;
    this.timeouts = times;
    this.incarnation = start;
    this.startedMillis = now;
    membershipVersion = MembershipList.settingsVersion(epoch);
    isReady = others.isEmpty();
    others.forEach(each -> addPeer(each, now));
  }

  private void addPeer(String each, long now) {
    PeerState other = new PeerState();
    other.heardAt = now - timeouts.peerTimeoutMillis - 1; // Not heard yet.
    peers.put(each, other);
  }

  /**
   * Goes by a newer list of nodes; what it has counted stays. Those that are on it for the first
   * time are told everything once they are heard.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adoptMembership(MembershipList list, long now) {
    if (list.version() <= membershipVersion) {
      return false;
    }
    membershipVersion = list.version();
    adoptedMembership = list;
    peers.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      if (!each.equals(id) && !peers.containsKey(each)) {
        addPeer(each, now);
      }
    }
    return true;
  }

  /** The list that was given while it ran, or null. */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /** What to answer one that goes by an older list; null when there is nothing to tell. */
  public MembershipList membershipNewerThan(long theirs) {
    return adoptedMembership != null && adoptedMembership.version() > theirs
        ? adoptedMembership
        : null;
  }

  /** Whether it may answer gatekeepers. */
  public boolean isReady() {
    return isReady && !isFenced();
  }

  /**
   * Whether it was taken off the list, or its list is out of date: its totals may lack what others
   * count.
   */
  public boolean isFenced() {
    return highestPeerVersion > membershipVersion
        || adoptedMembership != null && !adoptedMembership.addresses().containsKey(id);
  }

  /** The version of the list that it goes by. */
  public long membershipVersion() {
    return membershipVersion;
  }

  /** The other nodes on the list. */
  public Set<String> peers() {
    return peers.keySet();
  }

  /** Whether another node was heard of late. */
  public boolean isPeerAlive(String other, long now) {
    return now - peers.get(other).heardAt <= timeouts.peerTimeoutMillis;
  }

  /** Sums that another node has yet to be told; -1 for everything. */
  public int replicationLag(String other) {
    PeerState of = peers.get(other);
    return of.shard >= 0 ? -1 : of.changed.size();
  }

  /**
   * A gatekeeper tells its sums and asks for the total.
   *
   * @throws CommandException when this node may not answer, or cannot take the sums
   */
  public DecimalAmount mergeAndTotal(ReplicatedSum sum, long now, ChangeRecord to)
      throws CommandException {
    if (isFenced()) {
      throw new CommandException("FENCED a newer list of nodes is in use, nothing was added");
    }
    if (!isReady) {
      throw new CommandException(
          "LOADING this node has not caught up with the others, nothing was added");
    }
    merge(sum, "", now, to);
    rates.recordUse(sum.name(), now);
    return totalWithEstimate(sum.name(), now);
  }

  /** Another node tells a gatekeeper's sums. */
  public void mergeFromPeer(String from, ReplicatedSum sum, long now, ChangeRecord to)
      throws CommandException {
    lastPeerSumMillis = now;
    merge(sum, from, now, to);
  }

  private void merge(ReplicatedSum sum, String from, long now, ChangeRecord to)
      throws CommandException {
    DecimalAmount grown = sums.merge(sum, now, to);
    if (grown == null) {
      return;
    }
    rates.recordGrowth(sum.name(), sum.origin(), Double.parseDouble(grown.toString()), now);
    peers.forEach(
        (id, other) -> {
          // Also to others that the teller can reach: between those two the line may be cut.
          if (!id.equals(from)) {
            other.changed.add(new SumKey(sum.name(), sum.origin()));
            if (other.changed.size() > MAX_CHANGED_SUMS) {
              other.changed.clear();
              other.shard = 0;
            }
          }
        });
  }

  /**
   * A gatekeeper shows that it is there, or another node tells that it did. Only a stamp that was
   * not heard before counts: guards against two nodes that tell each other of one that neither
   * hears, each time a little later.
   *
   * @param stamp of the gatekeeper's own, that grows each time
   */
  public void onOriginStamp(long origin, long stamp, long now) {
    OriginState last = origins.get(origin);
    if (last == null ? origins.size() < MAX_ORIGINS : stamp > last.stamp) {
      origins.put(origin, new OriginState(stamp, now));
    }
  }

  private DecimalAmount totalWithEstimate(String name, long now) throws CommandException {
    DecimalAmount total = sums.total(name, now);
    boolean allHeard =
        peers.values().stream().allMatch(o -> now - o.heardAt <= timeouts.peerTimeoutMillis);
    if (allHeard) {
      return total; // A gatekeeper that no node hears counts nowhere.
    }
    double unheard = 0;
    for (Map.Entry<Long, OriginState> each : origins.entrySet()) {
      if (now - each.getValue().at > timeouts.peerTimeoutMillis) {
        unheard += rates.estimateSince(name, each.getKey(), each.getValue().at, now);
      }
    }
    return unheard <= 0
        ? total
        : total.plus(
            DecimalAmount.parse(
                Long.toString(Math.round(unheard))
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
  }

  /** What to tell the others of, again and again. */
  public Heartbeat nextHeartbeat(long now) {
    Map<Long, Long> stamps = new HashMap<>();
    origins.values().removeIf(heard -> now - heard.at > ORIGIN_RETENTION_MILLIS);
    origins.forEach(
        (origin, heard) -> {
          if (now - heard.at <= ORIGIN_ANNOUNCED_MILLIS) {
            stamps.put(origin, heard.stamp);
          }
        });
    return new Heartbeat(membershipVersion, incarnation, isReady(), stamps);
  }

  /** Another node's beat. */
  public void onHeartbeat(String from, Heartbeat beat, long now) {
    PeerState other = peers.get(from);
    highestPeerVersion = Math.max(highestPeerVersion, beat.membershipVersion);
    if (other == null || beat.membershipVersion < membershipVersion) {
      return;
    }
    boolean was = now - other.heardAt <= timeouts.peerTimeoutMillis;
    boolean again = other.start != null && other.start != beat.incarnation;
    if (!was || again) {
      restartFullTransfer(
          from); // What it missed while it was away, or forgot, is not known: everything.
      other.gaveAll &= !again;
    }
    other.start = beat.incarnation;
    other.heardAt = now;
    other.ready = beat.isReady;
    updateReadiness(now);
    beat.originStamps.forEach((origin, stamp) -> onOriginStamp(origin, stamp, now));
  }

  /** Another node answers that this one is not on its list. */
  public void onUnknownToPeer(String from, long now) {
    peers.get(from).strangeAt = now;
  }

  /** Another node has told everything that it had when it began to. */
  public void onFullStateReceived(String from, long now) {
    PeerState other = peers.get(from);
    if (other != null) {
      other.gaveAll = true;
      updateReadiness(now);
    }
  }

  // Each that is heard and ready must have told everything: one of them may itself lag behind
  // another.
  private void updateReadiness(long now) {
    boolean any = false;
    for (PeerState other : peers.values()) {
      if (other.ready && now - other.heardAt <= timeouts.peerTimeoutMillis) {
        if (!other.gaveAll) {
          return;
        }
        any = true;
      }
    }
    isReady |= any;
  }

  /**
   * Time goes by: what did not arrive is told again; a node that has waited in vain begins by
   * itself.
   */
  public void tick(long now) {
    peers
        .keySet()
        .forEach(
            id -> {
              PeerState other = peers.get(id);
              if (other.sentAt >= 0 && now - other.sentAt > timeouts.peerTimeoutMillis) {
                restartFullTransfer(id);
              }
            });
    updateReadiness(now);
    // Guards against a node that begins with nothing beside others that do not know of it yet: it
    // waits for a list of
    // nodes with both.
    boolean strange =
        peers.values().stream().anyMatch(o -> now - o.strangeAt <= timeouts.soloStartTimeoutMillis);
    if (isReady || strange) {
      return;
    }
    boolean all =
        peers.values().stream()
            .allMatch(
                o ->
                    o.gaveAll
                        || now - Math.max(startedMillis, o.heardAt)
                            >= timeouts.soloStartTimeoutMillis);
    // Guards against a fleet in which each waits for another. It may answer with less than a node
    // that cannot be
    // reached has; the estimate does not know of that either.
    isReady =
        all && now - startedMillis >= timeouts.soloStartTimeoutMillis
            || now - Math.max(startedMillis, lastPeerSumMillis)
                >= 10 * timeouts.soloStartTimeoutMillis;
  }

  /**
   * Takes what another node is to be told next; nothing while it is not heard, or has not confirmed
   * the last.
   *
   * @param most sums; a shard of everything may be more
   */
  public DeltaBatch nextBatch(String to, int most, long now) {
    PeerState other = peers.get(to);
    List<ReplicatedSum> next = new ArrayList<>();
    if (other.sentAt >= 0 || now - other.heardAt > timeouts.peerTimeoutMillis) {
      return new DeltaBatch(next, false);
    }
    boolean all = false;
    while (other.shard >= 0 && next.size() < most) {
      sums.visitShard(other.shard++, now, next::add);
      if (other.shard == sums.shardCount()) {
        other.shard = -1;
        all = true;
      }
    }
    Iterator<SumKey> changed = other.changed.iterator();
    while (next.size() < most && changed.hasNext()) {
      SumKey part = changed.next();
      changed.remove();
      ReplicatedSum sum = sums.sumOf(part.name, part.origin, now);
      if (sum != null) {
        next.add(sum);
      }
    }
    other.sentAt = next.isEmpty() && !all ? -1 : now;
    return new DeltaBatch(next, all);
  }

  /** A part of what was taken last has arrived, or was answered: the rest is on its way. */
  public void onBatchProgress(String to, long now) {
    peers.get(to).sentAt = now;
  }

  /** What was taken last for another node has arrived. */
  public void onBatchAcknowledged(String to) {
    peers.get(to).sentAt = -1;
  }

  /** What was taken did not arrive, or may not have: everything is told again. */
  public void restartFullTransfer(String to) {
    PeerState other = peers.get(to);
    other.shard = 0;
    other.sentAt = -1;
    other.changed.clear();
  }
}
