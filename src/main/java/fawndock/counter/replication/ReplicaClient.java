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
 * A gateway's side of several counter nodes: its own sums, which node a call goes to, and the
 * hedged second attempt within the call's time. No I/O and no clock: what is to be done comes out
 * as {@link ClientAction}s. Used from one thread.
 */
public final class ReplicaClient {
  private static final int MAX_RESENDS_PER_TICK = 200;

  /** As {@code callId}: nothing waits for the answer. */
  private static final long NO_CALL = 0;

  private static final class NodeHealth {
    boolean isHealthy;

    /** Since when something sent has had no answer, or -1. */
    long unansweredSinceMillis = -1;

    long lastHeartbeatMillis = Long.MIN_VALUE / 2;

    NodeHealth(boolean isHealthy) {
      this.isHealthy = isHealthy;
    }
  }

  private static final class InFlightCall {
    final long id;
    final String name;
    final DecimalAmount amount;
    final long startedMillis;
    final Set<String> triedNodes = new HashSet<>();
    long lastSentMillis;

    InFlightCall(long id, String name, DecimalAmount amount, long startedMillis) {
      this.id = id;
      this.name = name;
      this.amount = amount;
      this.startedMillis = startedMillis;
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
   * A client that takes every node for healthy until it learns otherwise.
   *
   * @param origin incarnation of this gateway; no other has it
   */
  public ReplicaClient(long origin, List<String> nodeIds, ClientTimeouts timeouts) {
    this.timeouts = timeouts;
    ownSums = new OwnSums(origin);
    nodeIds.forEach(each -> nodes.put(each, new NodeHealth(true)));
  }

  /**
   * Uses a newer membership list: a node that is new on it is sent calls once it says that it is
   * ready, and all sums are sent again.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adoptMembership(MembershipList list, long nowMillis, List<ClientAction> actions) {
    if (adoptedMembership != null && list.version() <= adoptedMembership.version()) {
      return false;
    }
    adoptedMembership = list;
    nodes.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      nodes.computeIfAbsent(each, id -> new NodeHealth(false));
    }
    nodeOrder.clear();
    resendAll();
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      sendToNextNode(call, nowMillis, actions); // The node that has it may be off the list.
    }
    return true;
  }

  /** The newest list that it was given, or null while it uses the one in its settings. */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /**
   * Adds to a name, or withdraws with a negative amount; returns the call's id.
   *
   * @throws CommandException when there are too many names, or the sum would overflow
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

  /** Sends to the first healthy node that this call was not sent to; false when there is none. */
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

  /** A node answered a sum with the total. */
  public void onTotal(String node, long callId, double total, List<ClientAction> actions) {
    healthOf(node).unansweredSinceMillis = -1;
    InFlightCall call = inFlightCalls.get(callId);
    if (call != null) {
      endCall(call, CallOutcome.OK, total, actions);
    }
  }

  /** A node rejected a call, such as one that is catching up; it has kept nothing of it. */
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

  /** Of a node that is off the list by now, a throwaway: its answers change nothing else. */
  private NodeHealth healthOf(String node) {
    NodeHealth health = nodes.get(node);
    return health == null ? new NodeHealth(true) : health;
  }

  /** A node answered a heartbeat: whether it is ready, and which membership list it uses. */
  public void onHeartbeatReply(
      String node, boolean isReady, long membershipVersion, List<ClientAction> actions) {
    exchangeMembership(node, membershipVersion, actions);
    NodeHealth health = healthOf(node);
    health.unansweredSinceMillis = -1;
    if (isReady && !health.isHealthy) {
      health.isHealthy = true;
      resendAll(); // It may have come back with less than others have, or with nothing.
    } else if (!isReady) {
      markUnhealthy(health);
    }
  }

  private void exchangeMembership(String node, long theirVersion, List<ClientAction> actions) {
    // By the settings alone, addresses may differ between instances: only the epoch counts then.
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

  /** The connection to a node is lost: its calls go to the next node at once. */
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

  /** What only this node had from this gateway is sent to the nodes that take its names over. */
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

  /** Ends and hedges calls, sends heartbeats and some of the sums that are to be sent again. */
  public void tick(long nowMillis, List<ClientAction> actions) {
    checkNodes(nowMillis, actions);
    checkCalls(nowMillis, actions);
    resendSome(nowMillis, actions);
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
      if (nowMillis - call.startedMillis >= timeouts.callTimeoutMillis()) {
        endCall(call, CallOutcome.TIMEOUT, 0, actions);
      } else if (nowMillis - call.lastSentMillis >= timeouts.hedgeDelayMillis()) {
        // Guards against the wait for a node that has stalled. It may send to a second node in vain
        // when the first is only slow; nothing is counted twice by that.
        sendToNextNode(call, nowMillis, actions);
      }
    }
  }

  private void resendSome(long nowMillis, List<ClientAction> actions) {
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
      // To the caller it was not added; it may have gone out with another call of the name
      // meanwhile.
      ownSums.revert(call.name, call.amount);
    }
    actions.add(new ClientAction.CallEnded(call.id, call.name, outcome, total));
  }

  /** Whether calls go to this node first for its names. */
  public boolean isHealthy(String node) {
    return healthOf(node).isHealthy;
  }
}
