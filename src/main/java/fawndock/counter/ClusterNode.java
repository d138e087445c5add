package fawndock.counter;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.replication.DeltaBatch;
import fawndock.counter.replication.FailureDetectorTimeouts;
import fawndock.counter.replication.Heartbeat;
import fawndock.counter.replication.MembershipList;
import fawndock.counter.replication.ReplicaNode;
import fawndock.counter.replication.ReplicatedSums;
import fawndock.counter.storage.CounterOperations;
import fawndock.settings.Address;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hosts a {@link ReplicaNode}: the connections to its peers, and the heartbeats and sums that go
 * out on them at each tick. Used on the event loop.
 */
final class ClusterNode {
  static final long TICK_MILLIS = 20;
  private static final Logger LOG = LoggerFactory.getLogger(ClusterNode.class);

  /** A peer, its connection, and what is on the way to it. */
  private static final class Peer {
    final PeerConnection connection;
    PeerOutbox outbox;

    /** As logged last; null before the first tick. */
    Boolean wasAlive;

    Peer(PeerConnection connection, PeerOutbox outbox) {
      this.connection = connection;
      this.outbox = outbox;
    }
  }

  private final ReplicaNode replica;
  private final ServerClock clock;
  private final String name;
  private final EventLoopGroup group;
  private final String password;
  private final Map<String, Peer> peers = new TreeMap<>();
  private boolean wasReady;

  ClusterNode(
      CounterSettings settings,
      CounterOperations operations,
      ServerClock clock,
      EventLoopGroup group) {
    this.clock = clock;
    this.group = group;
    CounterSettings.Cluster cluster = settings.cluster();
    name = cluster.node();
    password = settings.password();
    replica =
        new ReplicaNode(
            name,
            List.copyOf(cluster.peers().keySet()),
            cluster.epoch(),
            ThreadLocalRandom.current().nextLong(),
            new FailureDetectorTimeouts(cluster.failureTimeoutMillis(), cluster.startAloneMillis()),
            new ReplicatedSums(operations),
            clock.nowMillis());
    cluster.peers().forEach(this::addPeer);
    wasReady = replica.isReady();
  }

  ReplicaNode replica() {
    return replica;
  }

  /** This node's name; empty when it is alone. */
  String name() {
    return name;
  }

  boolean isPeer(String id) {
    return peers.containsKey(id);
  }

  private void addPeer(String id, Address address) {
    PeerConnection connection =
        new PeerConnection(
            group,
            address,
            password,
            isAccepted -> onSumsAnswered(id, isAccepted),
            text -> onHeartbeatReply(id, text),
            () -> onConnectionLost(id));
    peers.put(id, new Peer(connection, new PeerOutbox(name)));
  }

  private void onHeartbeatReply(String id, String answer) {
    if (answer.startsWith("+" + ClusterCommands.NEWER_LIST_PREFIX)) {
      int prefix = 1 + ClusterCommands.NEWER_LIST_PREFIX.length();
      adoptMembership(MembershipList.parse(answer.substring(prefix)));
    } else if (answer.startsWith("-" + ClusterCommands.UNKNOWN_NODE_CODE)
        && replica.peers().contains(id)) {
      replica.onUnknownToPeer(id, clock.nowMillis());
    }
  }

  /** Uses a newer list; connections to peers that are on it at the same address stay. */
  void adoptMembership(MembershipList list) {
    if (!replica.adoptMembership(list, clock.nowMillis())) {
      return;
    }
    LOG.info("membership list adopted: {}", list);
    for (String id : List.copyOf(peers.keySet())) {
      PeerConnection connection = peers.get(id).connection;
      if (!connection.address().toString().equals(list.addresses().get(id))) {
        peers.remove(id);
        connection.close();
        onConnectionLost(id);
      }
    }
    list.addresses()
        .forEach(
            (id, address) -> {
              if (!id.equals(name) && !peers.containsKey(id)) {
                addPeer(id, Address.of(address));
              }
            });
  }

  /** Sends heartbeats and sums to all peers; on the event loop, every {@link #TICK_MILLIS}. */
  void tick() {
    long nowMillis = clock.nowMillis();
    replica.tick(nowMillis);
    List<String> heartbeat = heartbeatMessage(replica.nextHeartbeat(nowMillis));
    peers.forEach(
        (id, peer) -> {
          logLiveness(id, peer, nowMillis);
          if (peer.connection.isUsable()) {
            peer.connection.send(heartbeat, false);
            sendNextSums(id, peer, nowMillis);
          }
        });
    if (wasReady != replica.isReady()) {
      wasReady = replica.isReady();
      LOG.info(wasReady ? "caught up: answers gateways" : "no longer answers gateways");
    }
  }

  private void logLiveness(String id, Peer peer, long nowMillis) {
    boolean isAlive = replica.isPeerAlive(id, nowMillis);
    if (peer.wasAlive == null || peer.wasAlive != isAlive) {
      peer.wasAlive = isAlive;
      LOG.warn("node {} is {}", id, isAlive ? "heard" : "missing");
    }
  }

  /** {@code FD.BEAT node version incarnation ready [origin stamp ...]}. */
  private List<String> heartbeatMessage(Heartbeat heartbeat) {
    List<String> words = new ArrayList<>();
    words.add("FD.BEAT");
    words.add(name);
    words.add(Long.toString(heartbeat.membershipVersion()));
    words.add(Long.toString(heartbeat.incarnation()));
    words.add(heartbeat.isReady() ? "1" : "0");
    heartbeat
        .originStamps()
        .forEach(
            (origin, stamp) -> {
              words.add(Long.toString(origin));
              words.add(Long.toString(stamp));
            });
    return words;
  }

  /**
   * Sends the next message, of the next batch when none is left; nothing while one is in flight.
   */
  private void sendNextSums(String id, Peer peer, long nowMillis) {
    if (peer.outbox.isEmpty()) {
      DeltaBatch batch = replica.nextBatch(id, PeerOutbox.SUMS_PER_MESSAGE, nowMillis);
      peer.outbox.addAll(batch);
    }
    List<String> message = peer.outbox.takeForSending();
    if (message != null) {
      peer.connection.send(message, true);
    }
  }

  private void onSumsAnswered(String id, boolean isAccepted) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return;
    }
    replica.onBatchProgress(id, clock.nowMillis());
    if (!isAccepted) {
      peer.outbox.onRejected(); // Its log is behind: the same message again at the next tick.
      return;
    }
    peer.outbox.onConfirmed();
    if (peer.outbox.isEmpty()) {
      replica.onBatchAcknowledged(id);
    }
    if (peer.connection.isUsable()) {
      sendNextSums(id, peer, clock.nowMillis());
    }
  }

  private void onConnectionLost(String id) {
    Peer peer = peers.get(id);
    if (peer != null) {
      peer.outbox = new PeerOutbox(name);
    }
    if (replica.peers().contains(id)) {
      replica.restartFullTransfer(id);
    }
  }
}
