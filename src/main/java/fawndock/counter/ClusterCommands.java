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
 * Implements the commands that gateways and peers send to a node: {@code FD.SUM FD.HERE FD.NODES
 * FD.BEAT FD.TOLD FD.STATUS}. The comment of each handler method gives the command's arguments.
 * Confined to the event loop.
 */
final class ClusterCommands {
  /** The prefix of a heartbeat reply that contains a newer membership list. */
  static final String NEWER_LIST_PREFIX = "LIST ";

  /** The error code for a node that is not on this node's membership list. */
  static final String UNKNOWN_NODE_CODE = "STRANGER";

  private static final int ARGUMENTS_PER_SUM = 5;

  /** One change each for the total, the added amount and the withdrawn amount. */
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

  /**
   * Runs {@code FD.SUM name origin added withdrawn ttl-ms}: merges a gateway's sum and replies with
   * the total.
   */
  private void sum(CommandInvocation call) throws CommandException {
    DecimalAmount total = replica.mergeAndTotal(readSum(call, 1), call.nowMillis(), call.changes());
    call.reply().bulkString(total.toString());
  }

  /** Reads the {@link #ARGUMENTS_PER_SUM} arguments of a sum, from the given index on. */
  private static ReplicatedSum readSum(CommandInvocation call, int index) throws CommandException {
    DecimalAmount added = DecimalAmount.parse(call.argument(index + 2));
    DecimalAmount withdrawn = DecimalAmount.parse(call.argument(index + 3));
    long timeToLiveMillis = call.integerArgument(index + 4);
    if (added.unscaledValue() < 0 || withdrawn.unscaledValue() < 0) {
      throw new CommandException("ERR a sum is not negative");
    }
    if (timeToLiveMillis <= 0 || timeToLiveMillis > Integer.MAX_VALUE) {
      throw new CommandException("ERR invalid expire time in 'fd.sum' command");
    }
    return new ReplicatedSum(
        call.argumentText(index),
        call.integerArgument(index + 1),
        added,
        withdrawn,
        timeToLiveMillis);
  }

  /**
   * Runs {@code FD.HERE origin stamp}: records that a gateway is alive, and replies with whether
   * this node is ready and with the version of its membership list.
   */
  private void gatewayHeartbeat(CommandInvocation call) throws CommandException {
    replica.onOriginStamp(call.integerArgument(1), call.integerArgument(2), call.nowMillis());
    call.reply().beginArray(2);
    call.reply().booleanAsInteger(replica.isReady());
    call.reply().integer(replica.membershipVersion());
  }

  /**
   * Runs {@code FD.NODES [epoch name=host:port ...]}: adopts the given membership list, if there is
   * one, and replies with the current list.
   */
  private void membership(CommandInvocation call) throws CommandException {
    if (cluster.ownName().isEmpty()) {
      throw new CommandException(
          "ERR this counter is alone, expected 'fleet NAME' in its settings");
    }
    if (call.arguments().length > 1) {
      List<String> arguments = new ArrayList<>();
      for (int i = 1; i < call.arguments().length; i++) {
        arguments.add(call.argumentText(i));
      }
      try {
        cluster.adoptMembership(MembershipList.parse(String.join(" ", arguments)));
      } catch (IllegalArgumentException e) {
        throw new CommandException("ERR " + e.getMessage());
      }
    }
    MembershipList membership = replica.adoptedMembership();
    call.reply().bulkString(membership == null ? "" : membership.toString());
  }

  private void requirePeer(String nodeName) throws CommandException {
    if (!cluster.isPeer(nodeName)) {
      throw new CommandException(
          UNKNOWN_NODE_CODE + " no node '" + nodeName + "' on this node's list");
    }
  }

  /**
   * Runs {@code FD.BEAT node version incarnation ready [origin stamp ...]}: records a peer's
   * heartbeat, and replies with OK or with a newer membership list.
   */
  private void heartbeat(CommandInvocation call) throws CommandException {
    if (call.arguments().length % 2 == 0) {
      throw CommandInvocation.syntaxError();
    }
    Map<Long, Long> stamps = new HashMap<>();
    for (int i = 5; i < call.arguments().length; i += 2) {
      stamps.put(call.integerArgument(i), call.integerArgument(i + 1));
    }
    Heartbeat heartbeat =
        new Heartbeat(
            call.integerArgument(2), call.integerArgument(3), call.integerArgument(4) == 1, stamps);
    MembershipList newerMembership = replica.membershipNewerThan(heartbeat.membershipVersion());
    if (newerMembership == null && heartbeat.membershipVersion() <= replica.membershipVersion()) {
      requirePeer(call.argumentText(1));
    }
    replica.onHeartbeat(call.argumentText(1), heartbeat, call.nowMillis());
    if (newerMembership == null) {
      call.reply().ok();
    } else {
      call.reply().simpleString(NEWER_LIST_PREFIX + newerMembership);
    }
  }

  /**
   * Runs {@code FD.TOLD node completes-full-state [name origin added withdrawn ttl-ms ...]}: merges
   * the sums of a peer.
   */
  private void sumsFromPeer(CommandInvocation call) throws CommandException {
    String peer = call.argumentText(1);
    requirePeer(peer);
    if ((call.arguments().length - 3) % ARGUMENTS_PER_SUM != 0) {
      throw CommandInvocation.syntaxError();
    }
    List<ReplicatedSum> sums = new ArrayList<>();
    for (int index = 3; index < call.arguments().length; index += ARGUMENTS_PER_SUM) {
      sums.add(readSum(call, index));
    }
    for (ReplicatedSum sum : sums) {
      replica.mergeFromPeer(peer, sum, call.nowMillis(), call.changes());
    }
    if (call.integerArgument(2) == 1) {
      replica.onFullStateReceived(peer, call.nowMillis());
    }
    call.reply().ok();
  }

  /** Runs {@code FD.STATUS}: replies with one line for this node and one for each peer. */
  private void status(CommandInvocation call) {
    List<String> lines = new ArrayList<>();
    String ownName = cluster.ownName().isEmpty() ? "alone" : cluster.ownName();
    long epoch = MembershipList.epoch(replica.membershipVersion());
    NodeState state = replica.state();
    lines.add(ownName + " epoch " + epoch + " " + state.statusWord());
    for (String peer : replica.peers()) {
      int lag = replica.replicationLag(peer);
      String liveness = replica.isPeerAlive(peer, call.nowMillis()) ? " heard" : " missing";
      lines.add(
          "  " + peer + liveness + " lag " + (lag < 0 ? "everything" : Integer.toString(lag)));
    }
    call.reply().beginArray(lines.size());
    lines.forEach(call.reply()::bulkString);
  }
}
