package fawndock.counter.replication;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Client side of a replicated counter in a gateway: keeps its own sums, selects the node for a
 * call, and sends a hedged second attempt within the call timeout. It performs no I/O and reads no
 * clock; it returns {@link ClientAction}s for its caller to execute. Confined to one thread.
 */
public final class ReplicaClient {
  private static final int MAX_RESENDS_PER_TICK = 200;

  /** Value of {@code callId} if no call waits for the answer. */
  private static final long NO_CALL = 0;

  /** Health of one node as seen by this client. */
  private static final class NodeHealth {
    boolean isHealthy;

    /** Send time of the oldest unanswered message, or -1 if there is none. */
    long unansweredSinceMillis = -1;

    long lastHeartbeatMillis = Long.MIN_VALUE / 2;

    NodeHealth(boolean isHealthy) {
      this.isHealthy = isHealthy;
    }
  }

  /** A call that has not ended, with the nodes to which it was sent. */
  private static final class InFlightCall {
    final long id;
    final String name;
    final DecimalAmount amount;
    final long startMillis;
    final Set<String> triedNodes = new HashSet<>();
    long lastSentMillis;

    InFlightCall(long id, String name, DecimalAmount amount, long startMillis) {
      this.id = id;
      this.name = name;
      this.amount = amount;
      this.startMillis = startMillis;
    }
  }

  private final ClientTimeouts timeouts;
  private final OwnSums ownSums;
  private final Map<String, NodeHealth> nodes = new LinkedHashMap<>();
  private final RendezvousOrder nodeOrder = new RendezvousOrder(nodes.keySet());
  private final Map<Long, InFlightCall> inFlightCalls = new LinkedHashMap<>();
  private final ArrayDeque<String> resendQueue = new ArrayDeque<>();
  private long nextCallId = 1;
  private long lastStamp;
  private MembershipList adoptedMembership;

  /**
   * Creates a client that considers every node healthy until it learns otherwise.
   *
   * @param origin incarnation number of this gateway, unique among all gateways
   */
  public ReplicaClient(long origin, List<String> nodeIds, ClientTimeouts timeouts) {
    this.timeouts = timeouts;
    ownSums = new OwnSums(origin);
    nodeIds.forEach(id -> nodes.put(id, new NodeHealth(true)));
  }

  /**
   * Adopts a newer membership list. A new node receives calls once it reports that it is ready, and
   * all sums are sent again.
   *
   * @return false if the client already uses this list or a newer one
   */
  public boolean adoptMembership(MembershipList list, long nowMillis, List<ClientAction> actions) {
    if (adoptedMembership != null && list.version() <= adoptedMembership.version()) {
      return false;
    }
    adoptedMembership = list;
    nodes.keySet().retainAll(list.addresses().keySet());
    for (String id : list.addresses().keySet()) {
      nodes.computeIfAbsent(id, newId -> new NodeHealth(false));
    }
    nodeOrder.clear();
    resendAll();
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      sendToNextNode(call, nowMillis, actions); // Its node may be off the list.
    }
    return true;
  }

  /**
   * Returns the newest adopted membership list, or null while the client uses the nodes in its
   * settings.
   */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /**
   * Starts a call that adds an amount to a name; a negative amount is a withdrawal. Returns the id
   * of the call.
   *
   * @throws CommandException when there are too many names or the sum would overflow
   */
  public long add(
      String name,
      DecimalAmount amount,
      long timeToLiveMillis,
      long nowMillis,
      List<ClientAction> actions)
      throws CommandException {
    ownSums.add(name, amount, timeToLiveMillis, nowMillis);
    InFlightCall call = new InFlightCall(nextCallId++, name, amount, nowMillis);
    inFlightCalls.put(call.id, call);
    if (!sendToNextNode(call, nowMillis, actions)) {
      endCall(call, CallOutcome.UNREACHABLE, 0, actions);
    }
    return call.id;
  }

  /**
   * Sends a call to the first healthy node that has not received it; returns false if there is
   * none.
   */
  private boolean sendToNextNode(InFlightCall call, long nowMillis, List<ClientAction> actions) {
    for (String id : nodeOrder.nodesFor(call.name)) {
      if (nodes.get(id).isHealthy && call.triedNodes.add(id)) {
        call.lastSentMillis = nowMillis;
        sendOwnSum(id, call.id, call.name, nowMillis, actions);
        return true;
      }
    }
    return false;
  }

  private void sendOwnSum(
      String id, long callId, String name, long nowMillis, List<ClientAction> actions) {
    ReplicatedSum sum = ownSums.current(name, nowMillis);
    if (sum != null) {
      expectAnswer(nodes.get(id), nowMillis);
      actions.add(new ClientAction.SendSum(id, callId, sum));
    }
  }

  private static void expectAnswer(NodeHealth node, long nowMillis) {
    if (node.unansweredSinceMillis < 0) {
      node.unansweredSinceMillis = nowMillis;
    }
  }

  /** Handles the answer of a node to a sum: the total of the name. */
  public void onTotal(String node, long callId, double total, List<ClientAction> actions) {
    healthOf(node).unansweredSinceMillis = -1;
    InFlightCall call = inFlightCalls.get(callId);
    if (call != null) {
      endCall(call, CallOutcome.OK, total, actions);
    }
  }

  /**
   * Handles the rejection of a call by a node, for example one that is catching up; the node has
   * not stored the sum.
   */
  public void onRejected(
      String node, long callId, boolean isNotReady, long nowMillis, List<ClientAction> actions) {
    NodeHealth health = healthOf(node);
    health.unansweredSinceMillis = -1;
    if (isNotReady) {
      markUnhealthy(health);
    }
    InFlightCall call = inFlightCalls.get(callId);
    if (call != null && !sendToNextNode(call, nowMillis, actions)) {
      endCall(call, CallOutcome.REJECTED, 0, actions);
    }
  }

  /**
   * Returns the health of a node; for a node that is no longer on the list, a temporary object, so
   * that its answers have no effect.
   */
  private NodeHealth healthOf(String node) {
    NodeHealth health = nodes.get(node);
    return health == null ? new NodeHealth(true) : health;
  }

  /**
   * Handles the answer of a node to a heartbeat: whether the node is ready, and the version of its
   * membership list.
   */
  public void onHeartbeatReply(
      String node, boolean isReady, long membershipVersion, List<ClientAction> actions) {
    exchangeMembership(node, membershipVersion, actions);
    NodeHealth health = healthOf(node);
    health.unansweredSinceMillis = -1;
    if (isReady && !health.isHealthy) {
      health.isHealthy = true;
      resendAll(); // After a restart it may have lost some or all sums.
    } else if (!isReady) {
      markUnhealthy(health);
    }
  }

  private void exchangeMembership(String node, long theirVersion, List<ClientAction> actions) {
    // Addresses in the settings may differ between instances: a list from them compares by epoch
    // only.
    long ownVersion =
        adoptedMembership == null
            ? MembershipList.settingsVersion(MembershipList.epoch(theirVersion))
            : adoptedMembership.version();
    if (theirVersion > ownVersion) {
      actions.add(new ClientAction.FetchMembership(node));
    } else if (theirVersion < ownVersion) {
      actions.add(new ClientAction.PushMembership(node, adoptedMembership));
    }
  }

  /** Handles the loss of the connection to a node: its calls are sent to the next node at once. */
  public void onConnectionLost(String node, long nowMillis, List<ClientAction> actions) {
    NodeHealth health = healthOf(node);
    health.unansweredSinceMillis = -1;
    markUnhealthy(health);
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      if (call.triedNodes.contains(node)) {
        sendToNextNode(call, nowMillis, actions);
      }
    }
  }

  /**
   * Marks a node unhealthy and sends all sums again, since the nodes that take over its names may
   * lack them.
   */
  private void markUnhealthy(NodeHealth node) {
    if (node.isHealthy) {
      node.isHealthy = false;
      resendAll();
    }
  }

  private void resendAll() {
    resendQueue.clear();
    resendQueue.addAll(ownSums.names());
  }

  /**
   * Ends calls that have timed out, hedges slow calls, sends heartbeats, and sends a limited number
   * of the sums queued for resending.
   */
  public void tick(long nowMillis, List<ClientAction> actions) {
    checkNodes(nowMillis, actions);
    checkCalls(nowMillis, actions);
    resendOwnSums(nowMillis, actions);
  }

  private void checkNodes(long nowMillis, List<ClientAction> actions) {
    nodes.forEach(
        (id, node) -> {
          if (node.unansweredSinceMillis >= 0
              && nowMillis - node.unansweredSinceMillis > timeouts.nodeTimeoutMillis()) {
            markUnhealthy(node);
          }
          if (nowMillis - node.lastHeartbeatMillis >= timeouts.heartbeatIntervalMillis()) {
            node.lastHeartbeatMillis = nowMillis;
            expectAnswer(node, nowMillis);
            actions.add(new ClientAction.SendHeartbeat(id, ++lastStamp));
          }
        });
  }

  private void checkCalls(long nowMillis, List<ClientAction> actions) {
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      if (nowMillis - call.startMillis >= timeouts.callTimeoutMillis()) {
        endCall(call, CallOutcome.TIMEOUT, 0, actions);
      } else if (nowMillis - call.lastSentMillis >= timeouts.hedgeDelayMillis()) {
        // A hedged attempt avoids waiting for a stalled node. If the first node is only slow, the
        // second attempt is redundant, but nothing is counted twice.
        sendToNextNode(call, nowMillis, actions);
      }
    }
  }

  private void resendOwnSums(long nowMillis, List<ClientAction> actions) {
    for (int i = 0; i < MAX_RESENDS_PER_TICK && !resendQueue.isEmpty(); i++) {
      String name = resendQueue.poll();
      for (String id : nodeOrder.nodesFor(name)) {
        if (nodes.get(id).isHealthy) {
          sendOwnSum(id, NO_CALL, name, nowMillis, actions);
          break;
        }
      }
    }
  }

  private void endCall(
      InFlightCall call, CallOutcome outcome, double total, List<ClientAction> actions) {
    inFlightCalls.remove(call.id);
    if (outcome == CallOutcome.UNREACHABLE || outcome == CallOutcome.REJECTED) {
      // The caller is told that the amount was not added, but another call of the same name may
      // have sent it meanwhile.
      ownSums.revert(call.name, call.amount);
    }
    actions.add(new ClientAction.CallEnded(call.id, call.name, outcome, total));
  }

  /** Returns whether a node is healthy and thus receives calls. */
  public boolean isHealthy(String node) {
    return healthOf(node).isHealthy;
  }
}
