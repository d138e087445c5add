package fawndock.counter;

import fawndock.counter.replication.Heartbeat;
import fawndock.counter.replication.MembershipList;
import fawndock.counter.replication.NodeState;
import fawndock.counter.replication.ReplicaNode;
import fawndock.counter.replication.ReplicatedSum;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The commands by which gateways and peers speak with a node: {@code FD.SUM FD.HERE FD.NODES
 * FD.BEAT FD.TOLD FD.STATUS}. The words of each stand in the comment of the method that reads them.
 */
final class ClusterCommands {
  /** How the answer to a heartbeat begins that gives a newer membership list. */
  static final String NEWER_LIST_PREFIX = "LIST ";

  /** The error code for a node that is not on this node's membership list. */
  static final String UNKNOWN_NODE_CODE = "STRANGER";

  private static final int WORDS_PER_SUM = 5;

  /** The total, the added and the withdrawn amount. */
  private static final int CHANGES_PER_SUM = 3;

  private final ClusterNode cluster;
  private final ReplicaNode replica;

  ClusterCommands(ClusterNode cluster) {
    this.cluster = cluster;
    replica = cluster.replica();
  }

  List<Command> all() {
    return List.of(
        new Command("FD.SUM", 6, true, 1, 1, CHANGES_PER_SUM, this::sum),
        new Command("FD.HERE", 3, false, 0, 0, this::gatewayHeartbeat),
        new Command("FD.NODES", -1, false, 0, 0, this::membership),
        new Command("FD.BEAT", -5, false, 0, 0, this::heartbeat),
        new Command("FD.TOLD", -3, true, 0, 0, CHANGES_PER_SUM, this::sumsFromPeer),
        new Command("FD.STATUS", 1, false, 0, 0, this::status));
  }

  /** {@code FD.SUM name origin added withdrawn ttl-ms}: merges a gateway's sum; the total back. */
  private void sum(CommandInvocation c) throws CommandException {
    DecimalAmount total = replica.mergeAndTotal(readSum(c, 1), c.nowMillis(), c.changes());
    c.reply().bulk(total.toString());
  }

  /** Reads the {@link #WORDS_PER_SUM} words of a sum from a place on. */
  private static ReplicatedSum readSum(CommandInvocation c, int at) throws CommandException {
    DecimalAmount added = DecimalAmount.parse(c.word(at + 2));
    DecimalAmount withdrawn = DecimalAmount.parse(c.word(at + 3));
    long timeToLiveMillis = c.integer(at + 4);
    if (added.unscaledValue() < 0 || withdrawn.unscaledValue() < 0) {
      throw new CommandException("ERR a sum is not negative");
    }
    if (timeToLiveMillis <= 0 || timeToLiveMillis > Integer.MAX_VALUE) {
      throw new CommandException("ERR invalid expire time in 'fd.sum' command");
    }
    return new ReplicatedSum(c.text(at), c.integer(at + 1), added, withdrawn, timeToLiveMillis);
  }

  /**
   * {@code FD.HERE origin stamp}: a gateway is alive; whether ready, and the list's version back.
   */
  private void gatewayHeartbeat(CommandInvocation c) throws CommandException {
    replica.onOriginStamp(c.integer(1), c.integer(2), c.nowMillis());
    c.reply().array(2);
    c.reply().flag(replica.isReady());
    c.reply().integer(replica.membershipVersion());
  }

  /**
   * {@code FD.NODES [epoch name=host:port ...]}: gives a list if there are words; the list back.
   */
  private void membership(CommandInvocation c) throws CommandException {
    if (cluster.name().isEmpty()) {
      throw new CommandException(
          "ERR this counter is alone, expected 'fleet NAME' in its settings");
    }
    if (c.words().length > 1) {
      List<String> words = new ArrayList<>();
      for (int i = 1; i < c.words().length; i++) {
        words.add(c.text(i));
      }
      try {
        cluster.adoptMembership(MembershipList.parse(String.join(" ", words)));
      } catch (IllegalArgumentException e) {
        throw new CommandException("ERR " + e.getMessage());
      }
    }
    MembershipList list = replica.adoptedMembership();
    c.reply().bulk(list == null ? "" : list.toString());
  }

  private void requirePeer(String id) throws CommandException {
    if (!cluster.isPeer(id)) {
      throw new CommandException(UNKNOWN_NODE_CODE + " no node '" + id + "' on this node's list");
    }
  }

  /** {@code FD.BEAT node version incarnation ready [origin stamp ...]}: OK or a newer list back. */
  private void heartbeat(CommandInvocation c) throws CommandException {
    if (c.words().length % 2 == 0) {
      throw CommandInvocation.syntaxError();
    }
    Map<Long, Long> stamps = new HashMap<>();
    for (int i = 5; i < c.words().length; i += 2) {
      stamps.put(c.integer(i), c.integer(i + 1));
    }
    Heartbeat heartbeat = new Heartbeat(c.integer(2), c.integer(3), c.integer(4) == 1, stamps);
    MembershipList newer = replica.membershipNewerThan(heartbeat.membershipVersion());
    if (newer == null && heartbeat.membershipVersion() <= replica.membershipVersion()) {
      requirePeer(c.text(1));
    }
    replica.onHeartbeat(c.text(1), heartbeat, c.nowMillis());
    if (newer == null) {
      c.reply().ok();
    } else {
      c.reply().simple(NEWER_LIST_PREFIX + newer);
    }
  }

  /** {@code FD.TOLD node completes-full-state [name origin added withdrawn ttl-ms ...]}. */
  private void sumsFromPeer(CommandInvocation c) throws CommandException {
    String peer = c.text(1);
    requirePeer(peer);
    if ((c.words().length - 3) % WORDS_PER_SUM != 0) {
      throw CommandInvocation.syntaxError();
    }
    List<ReplicatedSum> sums = new ArrayList<>();
    for (int at = 3; at < c.words().length; at += WORDS_PER_SUM) {
      sums.add(readSum(c, at));
    }
    for (ReplicatedSum each : sums) {
      replica.mergeFromPeer(peer, each, c.nowMillis(), c.changes());
    }
    if (c.integer(2) == 1) {
      replica.onFullStateReceived(peer, c.nowMillis());
    }
    c.reply().ok();
  }

  /** {@code FD.STATUS}: a line for this node and one for each peer. */
  private void status(CommandInvocation c) {
    List<String> lines = new ArrayList<>();
    String name = cluster.name().isEmpty() ? "alone" : cluster.name();
    long epoch = MembershipList.epoch(replica.membershipVersion());
    NodeState state = replica.state();
    lines.add(name + " epoch " + epoch + " " + state.statusWord());
    for (String peer : replica.peers()) {
      int lag = replica.replicationLag(peer);
      String heard = replica.isPeerAlive(peer, c.nowMillis()) ? " heard" : " missing";
      lines.add("  " + peer + heard + " lag " + (lag < 0 ? "everything" : Integer.toString(lag)));
    }
    c.reply().array(lines.size());
    lines.forEach(c.reply()::bulk);
  }
}
