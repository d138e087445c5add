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
 * Connects a {@link ReplicaNode} to the network: it holds the connections to the peers, and sends
 * heartbeats and sums on them at each tick. Confined to the event loop.
 */
final class ClusterNode {
  static final long TICK_MILLIS = 20;
  private static final Logger LOG = LoggerFactory.getLogger(ClusterNode.class);

  /** A peer, its connection, and the messages that are still to be confirmed by it. */
  private static final class Peer {
    final PeerConnection connection;
    PeerOutbox outbox;

    /** The liveness that was logged last; null before the first tick. */
    Boolean lastLoggedAlive;

    Peer(PeerConnection connection, PeerOutbox outbox) {
      this.connection = connection;
      this.outbox = outbox;
    }
  }

  private final ReplicaNode replica;
  private final ServerClock clock;
  private final String ownName;
  private final EventLoopGroup eventLoopGroup;
  private final String password;
  private final Map<String, Peer> peers = new TreeMap<>();
  private boolean wasReady;

  ClusterNode(
      CounterSettings settings,
      CounterOperations operations,
      ServerClock clock,
      EventLoopGroup eventLoopGroup) {
    this.clock = clock;
    this.eventLoopGroup = eventLoopGroup;
    CounterSettings.Cluster clusterSettings = settings.cluster();
    ownName = clusterSettings.nodeName();
    password = settings.password();
    replica =
        new ReplicaNode(
            ownName,
            List.copyOf(clusterSettings.peers().keySet()),
            clusterSettings.epoch(),
            ThreadLocalRandom.current().nextLong(),
            new FailureDetectorTimeouts(
                clusterSettings.failureTimeoutMillis(), clusterSettings.startAloneMillis()),
            new ReplicatedSums(operations),
            clock.nowMillis());
    clusterSettings.peers().forEach(this::addPeer);
    wasReady = replica.isReady();
  }

  ReplicaNode replica() {
    return replica;
  }

  /** Returns this node's name, which is empty if the node is not part of a cluster. */
  String ownName() {
    return ownName;
  }

  boolean isPeer(String peerName) {
    return peers.containsKey(peerName);
  }

  private void addPeer(String peerName, Address address) {
    PeerConnection connection =
        new PeerConnection(
            eventLoopGroup,
            address,
            password,
            isAccepted -> onSumsReply(peerName, isAccepted),
            reply -> onHeartbeatReply(peerName, reply),
            () -> onConnectionLost(peerName));
    peers.put(peerName, new Peer(connection, new PeerOutbox(ownName)));
  }

  private void onHeartbeatReply(String peerName, String reply) {
    if (reply.startsWith("+" + ClusterCommands.NEWER_LIST_PREFIX)) {
      int prefixLength = 1 + ClusterCommands.NEWER_LIST_PREFIX.length();
      adoptMembership(MembershipList.parse(reply.substring(prefixLength)));
    } else if (reply.startsWith("-" + ClusterCommands.UNKNOWN_NODE_CODE)
        && replica.peers().contains(peerName)) {
      replica.onUnknownToPeer(peerName, clock.nowMillis());
    }
  }

  /**
   * Adopts a membership list if it is newer. Connections to peers whose address is unchanged stay
   * open.
   */
  void adoptMembership(MembershipList list) {
    if (!replica.adoptMembership(list, clock.nowMillis())) {
      return;
    }
    LOG.info("membership list adopted: list={}", list);
    for (String peerName : List.copyOf(peers.keySet())) {
      PeerConnection connection = peers.get(peerName).connection;
      if (!connection.address().toString().equals(list.addresses().get(peerName))) {
        peers.remove(peerName);
        connection.close();
        onConnectionLost(peerName);
      }
    }
    list.addresses()
        .forEach(
            (peerName, address) -> {
              if (!peerName.equals(ownName) && !peers.containsKey(peerName)) {
                addPeer(peerName, Address.of(address));
              }
            });
  }

  /**
   * Sends heartbeats and sums to all peers. Must be called on the event loop every {@link
   * #TICK_MILLIS}.
   */
  void tick() {
    long nowMillis = clock.nowMillis();
    replica.tick(nowMillis);
    List<String> heartbeat = heartbeatMessage(replica.nextHeartbeat(nowMillis));
    peers.forEach(
        (peerName, peer) -> {
          logLiveness(peerName, peer, nowMillis);
          if (peer.connection.isUsable()) {
            peer.connection.send(heartbeat, false);
            sendNextSums(peerName, peer, nowMillis);
          }
        });
    if (wasReady != replica.isReady()) {
      wasReady = replica.isReady();
      LOG.info(wasReady ? "caught up: answers gateways" : "no longer answers gateways");
    }
  }

  private void logLiveness(String peerName, Peer peer, long nowMillis) {
    boolean isAlive = replica.isPeerAlive(peerName, nowMillis);
    if (peer.lastLoggedAlive == null || peer.lastLoggedAlive != isAlive) {
      peer.lastLoggedAlive = isAlive;
      LOG.warn("node {} is {}", peerName, isAlive ? "heard" : "missing");
    }
  }

  /** Builds {@code FD.BEAT node version incarnation ready [origin stamp ...]}. */
  private List<String> heartbeatMessage(Heartbeat heartbeat) {
    List<String> arguments = new ArrayList<>();
    arguments.add("FD.BEAT");
    arguments.add(ownName);
    arguments.add(Long.toString(heartbeat.membershipVersion()));
    arguments.add(Long.toString(heartbeat.incarnation()));
    arguments.add(heartbeat.isReady() ? "1" : "0");
    heartbeat
        .originStamps()
        .forEach(
            (origin, stamp) -> {
              arguments.add(Long.toString(origin));
              arguments.add(Long.toString(stamp));
            });
    return arguments;
  }

  /**
   * Sends the next message unless one is in flight. Fetches the next batch when no message is left.
   */
  private void sendNextSums(String peerName, Peer peer, long nowMillis) {
    if (peer.outbox.isEmpty()) {
      DeltaBatch batch = replica.nextBatch(peerName, PeerOutbox.SUMS_PER_MESSAGE, nowMillis);
      peer.outbox.addAll(batch);
    }
    List<String> message = peer.outbox.takeForSending();
    if (message != null) {
      peer.connection.send(message, true);
    }
  }

  private void onSumsReply(String peerName, boolean isAccepted) {
    Peer peer = peers.get(peerName);
    if (peer == null) {
      return;
    }
    replica.onBatchProgress(peerName, clock.nowMillis());
    if (!isAccepted) {
      peer.outbox.onRejected(); // The peer's log is behind: the next tick sends the message again.
      return;
    }
    peer.outbox.onConfirmed();
    if (peer.outbox.isEmpty()) {
      replica.onBatchAcknowledged(peerName);
    }
    if (peer.connection.isUsable()) {
      sendNextSums(peerName, peer, clock.nowMillis());
    }
  }

  private void onConnectionLost(String peerName) {
    Peer peer = peers.get(peerName);
    if (peer != null) {
      peer.outbox = new PeerOutbox(ownName);
    }
    if (replica.peers().contains(peerName)) {
      replica.restartFullTransfer(peerName);
    }
  }
}
