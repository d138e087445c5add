package fawndock.counter.replication;

import fawndock.counter.replication.ClientAction.CallEnded;
import fawndock.counter.replication.ClientAction.SendHeartbeat;
import fawndock.counter.replication.ClientAction.SendSum;
import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Nodes, gateways and the network between them in virtual milliseconds, all by one seed. A gateway
 * admits while the weighted estimate over two windows is within the limit, as the gateway's does.
 */
final class ClusterSimulation {
  static final long WINDOW = 1_000;
  static final int LIMIT = 60;
  static final int NODES = 3;
  static final int GATEWAYS = 4;
  static final FailureDetectorTimeouts NODE_TIMEOUTS = new FailureDetectorTimeouts(150, 300);
  static final ClientTimeouts CLIENT_TIMEOUTS = new ClientTimeouts(25, 50, 100, 40);

  private record Event(long at, long number, Runnable what) {}

  /** A node with its counts, which a crash may leave or take. */
  final class SimulatedNode {
    final String id;
    CounterTable table = new CounterTable(1, 2);
    ReplicaNode node;
    int life;
    long skew;
    boolean stalled;

    SimulatedNode(String id) {
      this.id = id;
    }

    void start(boolean empty) {
      if (empty) {
        table = new CounterTable(1, 2);
      }
      List<String> others = new ArrayList<>(settings);
      others.remove(id);
      node =
          new ReplicaNode(
              id,
              others,
              1,
              random.nextLong(),
              NODE_TIMEOUTS,
              new ReplicatedSums(new CounterOperations(table, Long.MAX_VALUE)),
              clock());
      tick(++life);
    }

    void die() {
      node = null;
      life++;
    }

    long clock() {
      return now + skew;
    }

    private void tick(int mine) {
      if (life != mine) {
        return;
      }
      if (!stalled) {
        node.tick(clock());
        for (String other : List.copyOf(node.peers())) {
          Heartbeat heartbeat = node.nextHeartbeat(clock());
          send(id, other, () -> at(other, n -> receiveHeartbeat(n, heartbeat, mine)));
          give(other, mine);
        }
      }
      after(20, () -> tick(mine));
    }

    /**
     * Another node has this one's heartbeat: it goes by it, or answers that this one's list is old
     * or lacks it.
     */
    private void receiveHeartbeat(SimulatedNode n, Heartbeat heartbeat, int mine) {
      MembershipList newer = n.node.membershipNewerThan(heartbeat.membershipVersion());
      boolean isUnknown =
          newer == null
              && heartbeat.membershipVersion() <= n.node.membershipVersion()
              && !n.node.peers().contains(id);
      n.node.onHeartbeat(id, heartbeat, n.clock());
      if (newer != null || isUnknown) {
        send(
            n.id,
            id,
            () ->
                at(
                    id,
                    me -> {
                      if (newer != null) {
                        me.node.adoptMembership(newer, me.clock());
                      } else if (me.life == mine && me.node.peers().contains(n.id)) {
                        me.node.onUnknownToPeer(n.id, me.clock());
                      }
                    }));
      }
    }

    private void give(String other, int mine) {
      DeltaBatch batch = node.nextBatch(other, 50, clock());
      if (batch.isEmpty()) {
        return;
      }
      send(
          id,
          other,
          () ->
              at(
                  other,
                  n -> {
                    if (!n.node.peers().contains(id)) {
                      return;
                    }
                    try {
                      for (ReplicatedSum each : batch.sums()) {
                        n.node.mergeFromPeer(id, each, n.clock(), new ChangeRecord(64));
                      }
                    } catch (CommandException e) {
                      throw new AssertionError(e);
                    }
                    if (batch.completesFullState()) {
                      n.node.onFullStateReceived(id, n.clock());
                    }
                    send(
                        other,
                        id,
                        () ->
                            at(
                                id,
                                me -> {
                                  if (me.life == mine && me.node.peers().contains(other)) {
                                    me.node.onBatchAcknowledged(other);
                                  }
                                }));
                  }));
    }
  }

  /** A gateway that customers call in an even flow, each at its rate. */
  final class SimulatedGateway {
    final String id;
    final ReplicaClient client;
    final Map<Long, Runnable> callbacks = new HashMap<>();
    final Map<String, Double> totals = new HashMap<>();

    /** What was acknowledged to it, added and taken back, by name. */
    final Map<String, int[]> acknowledged = new HashMap<>();

    long origin() {
      return Long.parseLong(id.substring(1));
    }

    SimulatedGateway(String id, long origin) {
      this.id = id;
      client = new ReplicaClient(origin, settings, CLIENT_TIMEOUTS);
    }

    void start() {
      tick();
      demand.forEach(
          (customer, perSecond) ->
              after(
                  random.nextInt(200), () -> ask(customer, (long) (1_000 * GATEWAYS / perSecond))));
    }

    private void tick() {
      List<ClientAction> out = new ArrayList<>();
      client.tick(now, out);
      carry(out);
      after(10, this::tick);
    }

    private void ask(String customer, long every) {
      if (quiet) {
        return;
      }
      after(every - every / 4 + random.nextInt((int) every / 2 + 1), () -> ask(customer, every));
      requested.merge(customer, 1L, Long::sum);
      long number = now / WINDOW;
      String name = customer + "." + number;
      double before = totals.getOrDefault(customer + "." + (number - 1), 0.0);
      double part = 1 - (double) (now % WINDOW) / WINDOW;
      // What the total lacks is this gateway's own calls in flight.
      if (before * part + totals.getOrDefault(name, 0.0) >= LIMIT && random.nextInt(8) > 0) {
        refused.computeIfAbsent(customer, c -> new ArrayList<>()).add(now);
        return;
      }
      add(
          name,
          1,
          total -> {
            if (total >= 0 && before * part + total > LIMIT) {
              refused.computeIfAbsent(customer, c -> new ArrayList<>()).add(now);
              add(name, -1, t -> {});
            } else {
              // While no node answers it admits freely, by design: that is counted by itself.
              (total < 0 ? freely : admitted)
                  .computeIfAbsent(customer, c -> new ArrayList<>())
                  .add(now);
            }
          });
    }

    private void add(String name, int amount, java.util.function.DoubleConsumer then) {
      List<ClientAction> out = new ArrayList<>();
      try {
        long call = client.add(name, new DecimalAmount(amount, false), 2 * WINDOW, now, out);
        callbacks.put(call, () -> then.accept(lastTotal));
        pending.put(call, amount);
      } catch (CommandException e) {
        throw new AssertionError(e);
      }
      carry(out);
    }

    private final Map<Long, Integer> pending = new HashMap<>();
    private double lastTotal;

    private void carry(List<ClientAction> out) {
      for (ClientAction each : out) {
        if (each instanceof SendSum ask) {
          send(id, ask.node(), () -> at(ask.node(), n -> receive(ask, n)));
        } else if (each instanceof SendHeartbeat here) {
          long origin = origin();
          send(
              id,
              here.node(),
              () ->
                  at(
                      here.node(),
                      n -> {
                        n.node.onOriginStamp(origin, here.stamp(), n.clock());
                        boolean ready = n.node.isReady();
                        long version = n.node.membershipVersion();
                        send(
                            n.id,
                            id,
                            () -> {
                              List<ClientAction> more = new ArrayList<>();
                              client.onHeartbeatReply(n.id, ready, version, more);
                              carry(more);
                            });
                      }));
        } else if (each instanceof ClientAction.FetchMembership fetch) {
          send(
              id,
              fetch.node(),
              () ->
                  at(
                      fetch.node(),
                      n -> {
                        MembershipList list = n.node.adoptedMembership();
                        send(
                            n.id,
                            id,
                            () -> {
                              List<ClientAction> more = new ArrayList<>();
                              client.adoptMembership(list, now, more);
                              carry(more);
                            });
                      }));
        } else if (each instanceof ClientAction.PushMembership give) {
          send(
              id,
              give.node(),
              () -> at(give.node(), n -> n.node.adoptMembership(give.list(), n.clock())));
        } else if (each instanceof CallEnded end) {
          int amount = pending.remove(end.callId());
          if (end.outcome() == CallOutcome.OK) {
            totals.merge(end.name(), end.total(), (a, b) -> b);
            acknowledged.computeIfAbsent(end.name(), n -> new int[2])[amount > 0 ? 0 : 1] += 1;
          }
          lastTotal = end.outcome() == CallOutcome.OK ? end.total() : -1;
          callbacks.remove(end.callId()).run();
        }
      }
    }

    private void receive(SendSum ask, SimulatedNode n) {
      List<ClientAction> out = new ArrayList<>();
      try {
        double total =
            Double.parseDouble(
                n.node.mergeAndTotal(ask.sum(), n.clock(), new ChangeRecord(64)).toString());
        send(
            n.id,
            id,
            () -> {
              client.onTotal(n.id, ask.callId(), total, out);
              carry(out);
            });
      } catch (CommandException e) {
        send(
            n.id,
            id,
            () -> {
              client.onRejected(n.id, ask.callId(), true, now, out);
              carry(out);
            });
      }
    }
  }

  final SplittableRandom random;

  /** All nodes that there ever were. */
  final Map<String, SimulatedNode> nodes = new TreeMap<>();

  /** The list in everyone's settings. */
  final List<String> settings = new ArrayList<>();

  /** The list that holds now. */
  List<String> list = settings;

  final List<SimulatedGateway> gateways = new ArrayList<>();
  final Map<String, Double> demand = new TreeMap<>();
  final Map<String, Long> requested = new HashMap<>();
  final Map<String, List<Long>> admitted = new HashMap<>();
  final Map<String, List<Long>> refused = new HashMap<>();
  final Set<String> cut = new HashSet<>();
  long slowest = 4;

  /** Nobody asks any more. */
  boolean quiet;

  final Map<String, List<Long>> freely = new HashMap<>();
  long now = 10 * WINDOW;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private long number;

  ClusterSimulation(long seed) {
    random = new SplittableRandom(seed);
    double rate = LIMIT * 1_000.0 / WINDOW;
    demand.put("over", 1.5 * rate);
    demand.put("under", 0.5 * rate);
    for (int i = 0; i < NODES; i++) {
      nodes.put("n" + i, new SimulatedNode("n" + i));
      settings.add("n" + i);
    }
    nodes.values().forEach(n -> n.start(true));
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new SimulatedGateway("g" + i, i));
    }
    gateways.forEach(SimulatedGateway::start);
  }

  /**
   * Starts a new node in the place of another, and gives one of those that stay the list with it.
   */
  void replace(String removed, String recipient, long untilRemoved) {
    SimulatedNode made = new SimulatedNode("n" + nodes.size());
    nodes.put(made.id, made);
    made.start(true);
    list = new ArrayList<>(list);
    list.remove(removed);
    list.add(made.id);
    Map<String, String> addresses = new TreeMap<>();
    list.forEach(id -> addresses.put(id, id + ":1"));
    after(400, () -> give(recipient, new MembershipList(2, addresses)));
    after(400 + untilRemoved, nodes.get(removed)::die);
  }

  /** An operator gives a list, again until the node is there. */
  private void give(String to, MembershipList given) {
    if (nodes.get(to).node == null) {
      after(50, () -> give(to, given));
    } else {
      nodes.get(to).node.adoptMembership(given, nodes.get(to).clock());
    }
  }

  void after(long millis, Runnable what) {
    events.add(new Event(now + millis, number++, what));
  }

  /** Runs until so many milliseconds have gone by. */
  void run(long millis) {
    long end = now + millis;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    now = end;
  }

  private interface OnNode {
    void happen(SimulatedNode node);
  }

  private void at(String id, OnNode what) {
    SimulatedNode node = nodes.get(id);
    if (node.stalled) {
      after(10, () -> at(id, what)); // It lies in the sockets until the node goes on.
    } else if (node.node != null) {
      what.happen(node);
    }
  }

  private void send(String from, String to, Runnable arrives) {
    if (!cut.contains(from + ">" + to)) {
      after(
          1 + random.nextInt((int) slowest),
          () -> {
            if (!cut.contains(from + ">" + to)) {
              arrives.run();
            }
          });
    }
  }

  /**
   * Cuts or mends the ways between two sets, in both directions or from the first to the second.
   */
  void cut(List<String> one, List<String> two, boolean both, boolean on) {
    for (String a : one) {
      for (String b : two) {
        for (String way : both ? List.of(a + ">" + b, b + ">" + a) : List.of(a + ">" + b)) {
          if (on) {
            cut.add(way);
          } else {
            cut.remove(way);
          }
        }
      }
    }
  }

  /** What was admitted of late, as a share of what the limit allows in that time. */
  double rate(String customer, long span) {
    return admitted.get(customer).stream().filter(at -> at >= now - span).count()
        / (LIMIT * (double) span / WINDOW);
  }

  /** The most that was admitted over any such span, as a share of what the limit allows in it. */
  double most(String customer, long span) {
    List<Long> at = admitted.getOrDefault(customer, List.of());
    int most = 0;
    for (int from = 0, to = 0; to < at.size(); to++) {
      while (at.get(to) - at.get(from) >= span) {
        from++;
      }
      most = Math.max(most, to - from + 1);
    }
    return most / (LIMIT * (double) span / WINDOW);
  }
}
