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
 * Deterministic simulation of nodes, gateways and the network between them in virtual milliseconds,
 * driven by one seed. A simulated gateway admits requests while the weighted estimate over two
 * windows is within the limit, as the real gateway does.
 */
final class ClusterSimulation {
  static final long WINDOW_MILLIS = 1_000;
  static final int LIMIT = 60;
  static final int NODE_COUNT = 3;
  static final int GATEWAY_COUNT = 4;
  static final FailureDetectorTimeouts NODE_TIMEOUTS = new FailureDetectorTimeouts(150, 300);
  static final ClientTimeouts CLIENT_TIMEOUTS = new ClientTimeouts(25, 50, 100, 40);

  /** An action scheduled for a time; events at the same time run in order of their numbers. */
  private record Event(long at, long number, Runnable action) {}

  /** A node with its counter table, which a crash may preserve or erase. */
  final class SimulatedNode {
    final String id;
    CounterTable table = new CounterTable(1, 2);
    ReplicaNode replica;
    int startNumber;
    long clockOffsetMillis;
    boolean isStalled;

    SimulatedNode(String id) {
      this.id = id;
    }

    void start(boolean withEmptyTable) {
      if (withEmptyTable) {
        table = new CounterTable(1, 2);
      }
      List<String> others = new ArrayList<>(settingsNodes);
      others.remove(id);
      replica =
          new ReplicaNode(
              id,
              others,
              1,
              random.nextLong(),
              NODE_TIMEOUTS,
              new ReplicatedSums(new CounterOperations(table, Long.MAX_VALUE)),
              clock());
      tick(++startNumber);
    }

    void crash() {
      replica = null;
      startNumber++;
    }

    long clock() {
      return nowMillis + clockOffsetMillis;
    }

    private void tick(int ownStartNumber) {
      if (startNumber != ownStartNumber) {
        return;
      }
      if (!isStalled) {
        replica.tick(clock());
        for (String peer : List.copyOf(replica.peers())) {
          Heartbeat heartbeat = replica.nextHeartbeat(clock());
          send(
              id,
              peer,
              () ->
                  onNode(peer, receiver -> receiveHeartbeat(receiver, heartbeat, ownStartNumber)));
          sendBatch(peer, ownStartNumber);
        }
      }
      after(20, () -> tick(ownStartNumber));
    }

    /**
     * Delivers a heartbeat of this node to another node, which processes it and answers if the list
     * of this node is outdated or the list of the receiver does not contain this node.
     */
    private void receiveHeartbeat(SimulatedNode receiver, Heartbeat heartbeat, int ownStartNumber) {
      MembershipList newer = receiver.replica.membershipNewerThan(heartbeat.membershipVersion());
      boolean isUnknown =
          newer == null
              && heartbeat.membershipVersion() <= receiver.replica.membershipVersion()
              && !receiver.replica.peers().contains(id);
      receiver.replica.onHeartbeat(id, heartbeat, receiver.clock());
      if (newer != null || isUnknown) {
        send(
            receiver.id,
            id,
            () ->
                onNode(
                    id,
                    sender -> {
                      if (newer != null) {
                        sender.replica.adoptMembership(newer, sender.clock());
                      } else if (sender.startNumber == ownStartNumber
                          && sender.replica.peers().contains(receiver.id)) {
                        sender.replica.onUnknownToPeer(receiver.id, sender.clock());
                      }
                    }));
      }
    }

    private void sendBatch(String peer, int ownStartNumber) {
      DeltaBatch batch = replica.nextBatch(peer, 50, clock());
      if (batch.isEmpty()) {
        return;
      }
      send(
          id,
          peer,
          () ->
              onNode(
                  peer,
                  receiver -> {
                    if (!receiver.replica.peers().contains(id)) {
                      return;
                    }
                    try {
                      for (ReplicatedSum sum : batch.sums()) {
                        receiver.replica.mergeFromPeer(
                            id, sum, receiver.clock(), new ChangeRecord(64));
                      }
                    } catch (CommandException e) {
                      throw new AssertionError(e);
                    }
                    if (batch.completesFullState()) {
                      receiver.replica.onFullStateReceived(id, receiver.clock());
                    }
                    send(
                        peer,
                        id,
                        () ->
                            onNode(
                                id,
                                sender -> {
                                  if (sender.startNumber == ownStartNumber
                                      && sender.replica.peers().contains(peer)) {
                                    sender.replica.onBatchAcknowledged(peer);
                                  }
                                }));
                  }));
    }
  }

  /** A gateway that receives requests of each customer at a steady rate. */
  final class SimulatedGateway {
    final String id;
    final ReplicaClient client;
    final Map<Long, Runnable> callbacks = new HashMap<>();
    final Map<String, Double> totals = new HashMap<>();

    /** Number of acknowledged additions and withdrawals, by name. */
    final Map<String, int[]> acknowledged = new HashMap<>();

    long origin() {
      return Long.parseLong(id.substring(1));
    }

    SimulatedGateway(String id, long origin) {
      this.id = id;
      client = new ReplicaClient(origin, settingsNodes, CLIENT_TIMEOUTS);
    }

    void start() {
      tick();
      demand.forEach(
          (customer, requestsPerSecond) ->
              after(
                  random.nextInt(200),
                  () -> request(customer, (long) (1_000 * GATEWAY_COUNT / requestsPerSecond))));
    }

    private void tick() {
      List<ClientAction> actions = new ArrayList<>();
      client.tick(nowMillis, actions);
      execute(actions);
      after(10, this::tick);
    }

    private void request(String customer, long intervalMillis) {
      if (isQuiet) {
        return;
      }
      after(
          intervalMillis - intervalMillis / 4 + random.nextInt((int) intervalMillis / 2 + 1),
          () -> request(customer, intervalMillis));
      requested.merge(customer, 1L, Long::sum);
      long windowNumber = nowMillis / WINDOW_MILLIS;
      String name = customer + "." + windowNumber;
      double previousTotal = totals.getOrDefault(customer + "." + (windowNumber - 1), 0.0);
      double previousWindowShare = 1 - (double) (nowMillis % WINDOW_MILLIS) / WINDOW_MILLIS;
      // The total lacks only the calls of this gateway that are in flight.
      if (previousTotal * previousWindowShare + totals.getOrDefault(name, 0.0) >= LIMIT
          && random.nextInt(8) > 0) {
        rejected.computeIfAbsent(customer, c -> new ArrayList<>()).add(nowMillis);
        return;
      }
      add(
          name,
          1,
          total -> {
            if (total >= 0 && previousTotal * previousWindowShare + total > LIMIT) {
              rejected.computeIfAbsent(customer, c -> new ArrayList<>()).add(nowMillis);
              add(name, -1, ignored -> {});
            } else {
              // While no node answers, requests are admitted without a limit by design and counted
              // separately.
              (total < 0 ? admittedWithoutTotal : admitted)
                  .computeIfAbsent(customer, c -> new ArrayList<>())
                  .add(nowMillis);
            }
          });
    }

    private void add(String name, int amount, java.util.function.DoubleConsumer onTotal) {
      List<ClientAction> actions = new ArrayList<>();
      try {
        long call =
            client.add(
                name, new DecimalAmount(amount, false), 2 * WINDOW_MILLIS, nowMillis, actions);
        callbacks.put(call, () -> onTotal.accept(lastTotal));
        amountsByCall.put(call, amount);
      } catch (CommandException e) {
        throw new AssertionError(e);
      }
      execute(actions);
    }

    private final Map<Long, Integer> amountsByCall = new HashMap<>();
    private double lastTotal;

    private void execute(List<ClientAction> actions) {
      for (ClientAction action : actions) {
        if (action instanceof SendSum request) {
          send(id, request.node(), () -> onNode(request.node(), node -> receive(request, node)));
        } else if (action instanceof SendHeartbeat heartbeat) {
          long origin = origin();
          send(
              id,
              heartbeat.node(),
              () ->
                  onNode(
                      heartbeat.node(),
                      node -> {
                        node.replica.onOriginStamp(origin, heartbeat.stamp(), node.clock());
                        boolean isReady = node.replica.isReady();
                        long version = node.replica.membershipVersion();
                        send(
                            node.id,
                            id,
                            () -> {
                              List<ClientAction> followUpActions = new ArrayList<>();
                              client.onHeartbeatReply(node.id, isReady, version, followUpActions);
                              execute(followUpActions);
                            });
                      }));
        } else if (action instanceof ClientAction.FetchMembership fetch) {
          send(
              id,
              fetch.node(),
              () ->
                  onNode(
                      fetch.node(),
                      node -> {
                        MembershipList list = node.replica.adoptedMembership();
                        send(
                            node.id,
                            id,
                            () -> {
                              List<ClientAction> followUpActions = new ArrayList<>();
                              client.adoptMembership(list, nowMillis, followUpActions);
                              execute(followUpActions);
                            });
                      }));
        } else if (action instanceof ClientAction.PushMembership push) {
          send(
              id,
              push.node(),
              () ->
                  onNode(
                      push.node(),
                      node -> node.replica.adoptMembership(push.list(), node.clock())));
        } else if (action instanceof CallEnded callEnd) {
          int amount = amountsByCall.remove(callEnd.callId());
          if (callEnd.outcome() == CallOutcome.OK) {
            totals.merge(callEnd.name(), callEnd.total(), (a, b) -> b);
            acknowledged.computeIfAbsent(callEnd.name(), k -> new int[2])[amount > 0 ? 0 : 1] += 1;
          }
          lastTotal = callEnd.outcome() == CallOutcome.OK ? callEnd.total() : -1;
          callbacks.remove(callEnd.callId()).run();
        }
      }
    }

    private void receive(SendSum request, SimulatedNode node) {
      List<ClientAction> actions = new ArrayList<>();
      try {
        double total =
            Double.parseDouble(
                node.replica
                    .mergeAndTotal(request.sum(), node.clock(), new ChangeRecord(64))
                    .toString());
        send(
            node.id,
            id,
            () -> {
              client.onTotal(node.id, request.callId(), total, actions);
              execute(actions);
            });
      } catch (CommandException e) {
        send(
            node.id,
            id,
            () -> {
              client.onRejected(node.id, request.callId(), true, nowMillis, actions);
              execute(actions);
            });
      }
    }
  }

  final SplittableRandom random;

  /** All nodes, including removed ones. */
  final Map<String, SimulatedNode> nodes = new TreeMap<>();

  /** Names of the nodes in the settings of all nodes and gateways. */
  final List<String> settingsNodes = new ArrayList<>();

  /** Names of the nodes on the current membership list. */
  List<String> currentNodes = settingsNodes;

  final List<SimulatedGateway> gateways = new ArrayList<>();
  final Map<String, Double> demand = new TreeMap<>();
  final Map<String, Long> requested = new HashMap<>();
  final Map<String, List<Long>> admitted = new HashMap<>();
  final Map<String, List<Long>> rejected = new HashMap<>();
  final Set<String> partitionedLinks = new HashSet<>();
  long maxDelayMillis = 4;

  /** Whether gateways receive no more requests. */
  boolean isQuiet;

  final Map<String, List<Long>> admittedWithoutTotal = new HashMap<>();
  long nowMillis = 10 * WINDOW_MILLIS;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private long number;

  ClusterSimulation(long seed) {
    random = new SplittableRandom(seed);
    double limitPerSecond = LIMIT * 1_000.0 / WINDOW_MILLIS;
    demand.put("over", 1.5 * limitPerSecond);
    demand.put("under", 0.5 * limitPerSecond);
    for (int i = 0; i < NODE_COUNT; i++) {
      nodes.put("n" + i, new SimulatedNode("n" + i));
      settingsNodes.add("n" + i);
    }
    nodes.values().forEach(n -> n.start(true));
    for (int i = 0; i < GATEWAY_COUNT; i++) {
      gateways.add(new SimulatedGateway("g" + i, i));
    }
    gateways.forEach(SimulatedGateway::start);
  }

  /**
   * Starts a new node that replaces another, and sends the new membership list to one of the
   * remaining nodes.
   */
  void replace(String removed, String recipient, long removalDelayMillis) {
    SimulatedNode newNode = new SimulatedNode("n" + nodes.size());
    nodes.put(newNode.id, newNode);
    newNode.start(true);
    currentNodes = new ArrayList<>(currentNodes);
    currentNodes.remove(removed);
    currentNodes.add(newNode.id);
    Map<String, String> addresses = new TreeMap<>();
    currentNodes.forEach(id -> addresses.put(id, id + ":1"));
    after(400, () -> adoptList(recipient, new MembershipList(2, addresses)));
    after(400 + removalDelayMillis, nodes.get(removed)::crash);
  }

  /** Sends a membership list to a node as an operator does; retries until the node runs. */
  private void adoptList(String nodeId, MembershipList list) {
    if (nodes.get(nodeId).replica == null) {
      after(50, () -> adoptList(nodeId, list));
    } else {
      nodes.get(nodeId).replica.adoptMembership(list, nodes.get(nodeId).clock());
    }
  }

  void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, number++, action));
  }

  /** Runs the simulation for a number of milliseconds. */
  void run(long millis) {
    long end = nowMillis + millis;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event next = events.poll();
      nowMillis = next.at;
      next.action.run();
    }
    nowMillis = end;
  }

  /** An action that runs on a node when a message reaches it. */
  private interface NodeAction {
    void run(SimulatedNode node);
  }

  private void onNode(String id, NodeAction action) {
    SimulatedNode node = nodes.get(id);
    if (node.isStalled) {
      after(
          10, () -> onNode(id, action)); // The message stays in the socket until the node resumes.
    } else if (node.replica != null) {
      action.run(node);
    }
  }

  private void send(String from, String to, Runnable onArrival) {
    if (!partitionedLinks.contains(from + ">" + to)) {
      after(
          1 + random.nextInt((int) maxDelayMillis),
          () -> {
            if (!partitionedLinks.contains(from + ">" + to)) {
              onArrival.run();
            }
          });
    }
  }

  /**
   * Starts or ends a network partition between two sets, in both directions or from the first to
   * the second.
   */
  void setPartitioned(
      List<String> firstSide,
      List<String> secondSide,
      boolean bothDirections,
      boolean isPartitioned) {
    for (String a : firstSide) {
      for (String b : secondSide) {
        for (String link :
            bothDirections ? List.of(a + ">" + b, b + ">" + a) : List.of(a + ">" + b)) {
          if (isPartitioned) {
            partitionedLinks.add(link);
          } else {
            partitionedLinks.remove(link);
          }
        }
      }
    }
  }

  /** Returns the rate admitted during the last span, as a share of the limit. */
  double admittedRate(String customer, long spanMillis) {
    return admitted.get(customer).stream().filter(at -> at >= nowMillis - spanMillis).count()
        / (LIMIT * (double) spanMillis / WINDOW_MILLIS);
  }

  /** Returns the maximum rate admitted over any span of this length, as a share of the limit. */
  double maxAdmittedRate(String customer, long spanMillis) {
    List<Long> admissionTimes = admitted.getOrDefault(customer, List.of());
    int maxCount = 0;
    for (int from = 0, to = 0; to < admissionTimes.size(); to++) {
      while (admissionTimes.get(to) - admissionTimes.get(from) >= spanMillis) {
        from++;
      }
      maxCount = Math.max(maxCount, to - from + 1);
    }
    return maxCount / (LIMIT * (double) spanMillis / WINDOW_MILLIS);
  }
}
