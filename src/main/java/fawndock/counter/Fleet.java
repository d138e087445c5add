package fawndock.counter;

import fawndock.counter.replication.MembershipList;
import fawndock.counter.replication.ReplicaNode;
import fawndock.counter.replication.ReplicaNode.DeltaBatch;
import fawndock.counter.replication.ReplicaNode.Heartbeat;
import fawndock.counter.replication.ReplicatedSum;
import fawndock.counter.replication.ReplicatedSums;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import fawndock.settings.Address;
import fawndock.settings.CounterSettings;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node among those that stand in for each other: the commands by which gatekeepers and other
 * nodes speak with it, and what it tells the others again and again. What is decided is {@link
 * ReplicaNode}'s.
 */
final class Fleet {
  static final long TICK_MILLIS = 20;
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  /** Sums to another node at once; one has at most three changes of some 1 KiB in the log. */
  private static final int SUMS = 100;

  /** What an answer to a beat begins with that tells a newer list of nodes. */
  private static final String LIST = "LIST ";

  /** The error for a node that is not on this node's list. */
  private static final String STRANGER = "STRANGER";

  private static final int SUM_WORDS = 5;
  private static final int CHANGES_A_SUM = 3;
  private final ReplicaNode node;
  private final CommandExecutor engine;
  private final String name;
  private final EventLoopGroup group;
  private final String password;
  private final Map<String, PeerConnection> links = new TreeMap<>();
  private final Map<String, Boolean> heard = new HashMap<>();

  /**
   * For each other node what is to be told of a batch; the first of it is out when the node is in
   * the set.
   */
  private final Map<String, ArrayDeque<List<String>>> parts = new HashMap<>();

  private final Set<String> out = new HashSet<>();
  private boolean ready;

  Fleet(CounterSettings settings, CommandExecutor engine, EventLoopGroup group) {
    this.engine = engine;
    CounterSettings.Fleet fleet = settings.fleet();
    name = fleet.node();
    this.group = group;
    password = settings.password();
    node =
        new ReplicaNode(
            name,
            List.copyOf(fleet.fellows().keySet()),
            fleet.epoch(),
            ThreadLocalRandom.current().nextLong(),
            new ReplicaNode.FailureDetectorTimeouts(fleet.missingMillis(), fleet.aloneMillis()),
            new ReplicatedSums(engine.counts()),
            engine.now());
    fleet.fellows().forEach(this::link);
    ready = node.isReady();
  }

  private void link(String id, Address address) {
    links.put(
        id,
        new PeerConnection(
            group,
            address,
            password,
            ok -> answered(id, ok),
            text -> beaten(id, text),
            () -> lost(id)));
  }

  /** Another node has answered a beat. */
  private void beaten(String id, String answer) {
    if (answer.startsWith("+" + LIST)) {
      adopt(MembershipList.parse(answer.substring(1 + LIST.length())));
    } else if (answer.startsWith("-" + STRANGER) && node.peers().contains(id)) {
      node.onUnknownToPeer(id, engine.now());
    }
  }

  /**
   * Goes by a newer list of nodes, and keeps the connections to those that are on it at the same
   * address.
   */
  private void adopt(MembershipList list) {
    if (!node.adoptMembership(list, engine.now())) {
      return;
    }
    LOG.info("goes by a new list of nodes: {}", list);
    for (String id : List.copyOf(links.keySet())) {
      if (!links.get(id).address().toString().equals(list.addresses().get(id))) {
        links.remove(id).close();
        heard.remove(id);
        lost(id);
      }
    }
    list.addresses()
        .forEach(
            (id, address) -> {
              if (!id.equals(name) && !links.containsKey(id)) {
                link(id, Address.of(address));
              }
            });
  }

  List<Command> commands() {
    return List.of(
        new Command(
            "FD.SUM",
            6,
            true,
            1,
            1,
            CHANGES_A_SUM,
            c ->
                c.reply()
                    .bulk(node.mergeAndTotal(sum(c, 1), c.nowMillis(), c.changes()).toString())),
        new Command(
            "FD.HERE",
            3,
            false,
            0,
            0,
            c -> {
              node.onOriginStamp(c.integer(1), c.integer(2), c.nowMillis());
              c.reply().array(2);
              c.reply().flag(node.isReady());
              c.reply().integer(node.membershipVersion());
            }),
        new Command("FD.NODES", -1, false, 0, 0, this::nodes),
        new Command("FD.BEAT", -5, false, 0, 0, this::beat),
        new Command("FD.TOLD", -3, true, 0, 0, CHANGES_A_SUM, this::told),
        new Command("FD.STATUS", 1, false, 0, 0, this::status));
  }

  /**
   * The sum whose words begin at a place: name, gatekeeper, added, taken back, milliseconds that it
   * is kept.
   */
  private static ReplicatedSum sum(CommandInvocation c, int at) throws CommandException {
    DecimalAmount plus = DecimalAmount.parse(c.word(at + 2));
    DecimalAmount minus = DecimalAmount.parse(c.word(at + 3));
    long keep = c.integer(at + 4);
    if (plus.digits() < 0 || minus.digits() < 0) {
      throw new CommandException("ERR a sum is not negative");
    }
    if (keep <= 0 || keep > Integer.MAX_VALUE) {
      throw new CommandException("ERR invalid expire time in 'fd.sum' command");
    }
    return new ReplicatedSum(c.text(at), c.integer(at + 1), plus, minus, keep);
  }

  /**
   * FD.NODES [epoch name=host:port ...], which gives a list when there are words: the list that it
   * goes by.
   */
  private void nodes(CommandInvocation c) throws CommandException {
    if (name.isEmpty()) {
      throw new CommandException(
          "ERR this counter is alone, expected 'fleet NAME' in its settings");
    }
    if (c.words().length > 1) {
      List<String> words = new ArrayList<>();
      for (int i = 1; i < c.words().length; i++) {
        words.add(c.text(i));
      }
      try {
        adopt(MembershipList.parse(String.join(" ", words)));
      } catch (IllegalArgumentException e) {
        throw new CommandException("ERR " + e.getMessage());
      }
    }
    c.reply().bulk(node.adoptedMembership() == null ? "" : node.adoptedMembership().toString());
  }

  private void known(String other) throws CommandException {
    if (!links.containsKey(other)) {
      throw new CommandException(STRANGER + " no node '" + other + "' on this node's list");
    }
  }

  /** FD.BEAT node version start ready [gatekeeper stamp ...] */
  private void beat(CommandInvocation c) throws CommandException {
    if (c.words().length % 2 == 0) {
      throw CommandInvocation.syntaxError();
    }
    Map<Long, Long> stamps = new HashMap<>();
    for (int i = 5; i < c.words().length; i += 2) {
      stamps.put(c.integer(i), c.integer(i + 1));
    }
    Heartbeat beat = new Heartbeat(c.integer(2), c.integer(3), c.integer(4) == 1, stamps);
    MembershipList newer = node.membershipNewerThan(beat.membershipVersion());
    if (newer == null && beat.membershipVersion() <= node.membershipVersion()) {
      known(c.text(1));
    }
    node.onHeartbeat(c.text(1), beat, c.nowMillis());
    if (newer == null) {
      c.reply().ok();
    } else {
      c.reply().simple(LIST + newer);
    }
  }

  /** FD.TOLD node all [name gatekeeper added taken-back milliseconds ...] */
  private void told(CommandInvocation c) throws CommandException {
    known(c.text(1));
    if ((c.words().length - 3) % SUM_WORDS != 0) {
      throw CommandInvocation.syntaxError();
    }
    List<ReplicatedSum> sums = new ArrayList<>();
    for (int at = 3; at < c.words().length; at += SUM_WORDS) {
      sums.add(sum(c, at));
    }
    for (ReplicatedSum each : sums) {
      node.mergeFromPeer(c.text(1), each, c.nowMillis(), c.changes());
    }
    if (c.integer(2) == 1) {
      node.onFullStateReceived(c.text(1), c.nowMillis());
    }
    c.reply().ok();
  }

  private void status(CommandInvocation c) {
    List<String> lines = new ArrayList<>();
    lines.add(
        (name.isEmpty() ? "alone" : name)
            + " epoch "
            + MembershipList.epoch(node.membershipVersion())
            + (node.isFenced() ? " fenced" : node.isReady() ? " ready" : " catching-up"));
    for (String other : node.peers()) {
      int lag = node.replicationLag(other);
      lines.add(
          "  "
              + other
              + (node.isPeerAlive(other, c.nowMillis()) ? " heard" : " missing")
              + " lag "
              + (lag < 0 ? "everything" : Integer.toString(lag)));
    }
    c.reply().array(lines.size());
    lines.forEach(c.reply()::bulk);
  }

  /**
   * Tells the others what they have yet to be told; on the event loop, every {@link #TICK_MILLIS}.
   */
  void tick() {
    long now = engine.now();
    node.tick(now);
    Heartbeat beat = node.nextHeartbeat(now);
    links.forEach(
        (id, link) -> {
          boolean hears = node.isPeerAlive(id, now);
          if (!Objects.equals(heard.put(id, hears), hears)) {
            LOG.warn("node {} is {}", id, hears ? "heard" : "missing");
          }
          if (!link.usable()) {
            return;
          }
          List<String> words =
              new ArrayList<>(
                  List.of(
                      "FD.BEAT",
                      name,
                      Long.toString(beat.membershipVersion()),
                      Long.toString(beat.incarnation()),
                      beat.isReady() ? "1" : "0"));
          beat.originStamps()
              .forEach(
                  (origin, stamp) -> {
                    words.add(Long.toString(origin));
                    words.add(Long.toString(stamp));
                  });
          link.send(words, false);
          tell(id, link, now);
        });
    if (ready != node.isReady()) {
      ready = node.isReady();
      LOG.info(ready ? "caught up: answers gatekeepers" : "answers gatekeepers no more");
    }
  }

  /**
   * Tells the first part that is left, of the next batch when none is; nothing while one is out.
   */
  private void tell(String id, PeerConnection link, long now) {
    ArrayDeque<List<String>> left = parts.computeIfAbsent(id, n -> new ArrayDeque<>());
    if (left.isEmpty()) {
      split(node.nextBatch(id, SUMS, now), left);
    }
    if (!left.isEmpty() && out.add(id)) {
      link.send(left.peek(), true);
    }
  }

  /** A shard of everything may be more than goes into one group of the other's log. */
  private void split(DeltaBatch batch, ArrayDeque<List<String>> into) {
    for (int from = 0;
        !batch.isEmpty() && (from == 0 || from < batch.sums().size());
        from += SUMS) {
      boolean last = from + SUMS >= batch.sums().size();
      List<String> words =
          new ArrayList<>(List.of("FD.TOLD", name, batch.completesFullState() && last ? "1" : "0"));
      for (ReplicatedSum each :
          batch.sums().subList(from, Math.min(batch.sums().size(), from + SUMS))) {
        words.addAll(
            List.of(
                each.name(),
                Long.toString(each.origin()),
                each.added().toString(),
                each.withdrawn().toString(),
                Long.toString(each.timeToLiveMillis())));
      }
      into.add(words);
    }
  }

  private void answered(String id, boolean ok) {
    out.remove(id);
    if (!links.containsKey(id)) {
      return;
    }
    node.onBatchProgress(id, engine.now());
    if (!ok) {
      return; // Its log is behind: the same part again at the next tick.
    }
    ArrayDeque<List<String>> left = parts.get(id);
    left.poll();
    if (left.isEmpty()) {
      node.onBatchAcknowledged(id);
    }
    if (links.get(id).usable()) {
      tell(id, links.get(id), engine.now());
    }
  }

  private void lost(String id) {
    out.remove(id);
    parts.remove(id);
    if (node.peers().contains(id)) {
      node.restartFullTransfer(id);
    }
  }
}
