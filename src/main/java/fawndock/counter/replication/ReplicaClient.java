package fawndock.counter.replication;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A gatekeeper's side of several nodes: its own sums, which node a name is asked at, and the turn
 * to the next within a call's time.
 */
public final class ReplicaClient {
  /** How a call ended. */
  public enum CallOutcome {
    OK,
    TIMEOUT,
    UNREACHABLE,
    REJECTED
  }

  /** What the client wants done. */
  public sealed interface ClientAction
      permits SendSum, SendHeartbeat, CallEnded, FetchMembership, PushMembership {}

  /**
   * Sends sums to a node and asks for the total; call 0 only tells, and nothing waits for its
   * answer.
   */
  public record SendSum(String node, long callId, ReplicatedSum sum) implements ClientAction {}

  /**
   * Shows a node that this gatekeeper is there, and asks whether the node is ready; the stamp is a
   * new one each time.
   */
  public record SendHeartbeat(String node, long stamp) implements ClientAction {}

  /** Asks a node for the list of nodes that it goes by. */
  public record FetchMembership(String node) implements ClientAction {}

  /** Gives a node a newer list than it has; it may have lost it with all that it had. */
  public record PushMembership(String node, MembershipList list) implements ClientAction {}

  /** A call has ended; the total counts only when it is OK. */
  public record CallEnded(long callId, String name, CallOutcome outcome, double total)
      implements ClientAction {}

  /**
   * Times, in milliseconds.
   *
   * @param hedgeDelayMillis after which the next node is asked as well
   * @param callTimeoutMillis after which a call has ended
   * @param nodeTimeoutMillis of silence after which a node is not asked first any more
   * @param heartbeatIntervalMillis between showing that it is there
   */
  public record ClientTimeouts(
      long hedgeDelayMillis,
      long callTimeoutMillis,
      long nodeTimeoutMillis,
      long heartbeatIntervalMillis) {}

  private static final int MAX_RESENDS_PER_TICK = 200;
  private static final int MAX_NAMES = 200_000;

  private static final class OwnSum {
    DecimalAmount added = DecimalAmount.ZERO;
    DecimalAmount withdrawn = DecimalAmount.ZERO;
    long expiryMillis;
  }

  private static final class NodeHealth {
    boolean isHealthy = true;

    /** When something was sent that has had no answer since, or -1. */
    long unansweredSinceMillis = -1;

    long lastHeartbeatMillis = Long.MIN_VALUE / 2;
  }

  private static final class InFlightCall {
    final long id;
    final String name;
    final DecimalAmount amount;
    final long startedMillis;
    final Set<String> triedNodes = new HashSet<>();
    long lastSentMillis;

    InFlightCall(long id, String name, DecimalAmount amount, long at) {
      this.id = id;
      this.name = name;
      this.amount = amount;
      this.startedMillis = at;
    }
  }

  private final long origin;
  private final ClientTimeouts timeouts;
  private final Map<String, NodeHealth> nodes = new LinkedHashMap<>();
  private final Map<String, OwnSum> ownSums = new LinkedHashMap<>();
  private final Map<Long, InFlightCall> inFlightCalls = new LinkedHashMap<>();
  private final ArrayDeque<String> resendQueue = new ArrayDeque<>();
  private final Map<String, List<String>> nodeOrders = new HashMap<>();
  private long nextCall = 1;
  private long stamp;
  private MembershipList adoptedMembership;

  /**
   * A client that takes every node for well until it hears otherwise.
   *
   * @param origin this start of this gatekeeper; no other has it
   */
  public ReplicaClient(long origin, List<String> nodes, ClientTimeouts times) {
    this.origin = origin;
    this.timeouts = times;
    nodes.forEach(each -> this.nodes.put(each, new NodeHealth()));
  }

  /**
   * Goes by a newer list of nodes, told by one of them: each that is new to it is asked once it is
   * ready, and all sums are told anew.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adoptMembership(MembershipList list, long now, List<ClientAction> out) {
    if (adoptedMembership != null && list.version() <= adoptedMembership.version()) {
      return false;
    }
    adoptedMembership = list;
    nodes.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      nodes.computeIfAbsent(
          each,
          id -> {
            NodeHealth node = new NodeHealth();
            node.isHealthy = false; // Until it says that it has caught up.
            return node;
          });
    }
    nodeOrders.clear();
    resendAll();
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      sendToNextNode(call, now, out); // The one that was asked may be off the list.
    }
    return true;
  }

  /** The newest list that it was told, or null while it goes by the one in its settings. */
  public MembershipList adoptedMembership() {
    return adoptedMembership;
  }

  /** Adds to a name, or takes back with a negative amount; returns the call's number. */
  public long add(
      String name, DecimalAmount amount, long keepMillis, long now, List<ClientAction> out)
      throws CommandException {
    OwnSum mine = ownSums.get(name);
    if (mine == null || mine.expiryMillis <= now) {
      if (ownSums.size() >= MAX_NAMES) {
        ownSums.values().removeIf(o -> o.expiryMillis <= now);
        if (ownSums.size() >= MAX_NAMES) {
          throw new CommandException("OOM too many names");
        }
      }
      mine = new OwnSum();
      mine.expiryMillis = now + keepMillis;
      ownSums.put(name, mine);
    }
    addToOwnSum(mine, amount);
    InFlightCall call = new InFlightCall(nextCall++, name, amount, now);
    inFlightCalls.put(call.id, call);
    if (!sendToNextNode(call, now, out)) {
      endCall(call, CallOutcome.UNREACHABLE, 0, out);
    }
    return call.id;
  }

  private static void addToOwnSum(OwnSum mine, DecimalAmount amount) throws CommandException {
    if (amount.digits() >= 0) {
      mine.added = mine.added.plus(amount);
    } else {
      mine.withdrawn = mine.withdrawn.plus(amount.negated());
    }
  }

  /** Asks the first node that is well and was not asked for this call; false when there is none. */
  private boolean sendToNextNode(InFlightCall call, long now, List<ClientAction> out) {
    for (String id : nodesFor(call.name)) {
      if (nodes.get(id).isHealthy && call.triedNodes.add(id)) {
        call.lastSentMillis = now;
        sendOwnSum(id, call.id, call.name, now, out);
        return true;
      }
    }
    return false;
  }

  private void sendOwnSum(String id, long call, String name, long now, List<ClientAction> out) {
    OwnSum mine = ownSums.get(name);
    if (mine == null || mine.expiryMillis <= now) {
      return;
    }
    NodeHealth node = nodes.get(id);
    node.unansweredSinceMillis = node.unansweredSinceMillis < 0 ? now : node.unansweredSinceMillis;
    out.add(
        new SendSum(
            id,
            call,
            new ReplicatedSum(name, origin, mine.added, mine.withdrawn, mine.expiryMillis - now)));
  }

  /**
   * The nodes of a name, by rendezvous hashing: one that goes moves only the names that were its
   * own.
   */
  private List<String> nodesFor(String name) {
    String series = ReplicatedSum.series(name);
    if (nodeOrders.size() > MAX_NAMES) {
      nodeOrders.clear();
    }
    return nodeOrders.computeIfAbsent(
        series,
        s -> {
          List<String> order = new ArrayList<>(nodes.keySet());
          order.sort(Comparator.comparingLong(node -> weight(s, node)));
          return order;
        });
  }

  private static long weight(String series, String node) {
    long hash = 0xCBF29CE484222325L;
    for (char c : (node + '/' + series).toCharArray()) {
      hash = (hash ^ c) * 0x100000001B3L;
    }
    hash = (hash ^ hash >>> 33) * 0xFF51AFD7ED558CCDL;
    return hash ^ hash >>> 33;
  }

  /** A node answered a call, or a telling, with the total. */
  public void onTotal(String node, long id, double total, List<ClientAction> out) {
    healthOf(node).unansweredSinceMillis = -1;
    InFlightCall call = inFlightCalls.get(id);
    if (call != null) {
      endCall(call, CallOutcome.OK, total, out);
    }
  }

  /** A node refused a call, such as one that has not caught up; it has kept nothing of it. */
  public void onRejected(String node, long id, boolean notReady, long now, List<ClientAction> out) {
    NodeHealth of = healthOf(node);
    of.unansweredSinceMillis = -1;
    if (notReady) {
      markUnhealthy(of);
    }
    InFlightCall call = inFlightCalls.get(id);
    if (call != null && !sendToNextNode(call, now, out)) {
      endCall(call, CallOutcome.REJECTED, 0, out);
    }
  }

  /** A node that is off the list by now has its answers taken, and nothing else of it matters. */
  private NodeHealth healthOf(String node) {
    return nodes.getOrDefault(node, new NodeHealth());
  }

  /**
   * A node answered that it hears, whether it is ready, and by which version of the list of nodes
   * it goes.
   */
  public void onHeartbeatReply(String node, boolean ready, long version, List<ClientAction> out) {
    long mine =
        adoptedMembership == null
            ? MembershipList.settingsVersion(MembershipList.epoch(version))
            : adoptedMembership.version();
    if (version > mine) {
      out.add(new FetchMembership(node));
    } else if (version < mine) {
      out.add(new PushMembership(node, adoptedMembership));
    }
    NodeHealth of = healthOf(node);
    of.unansweredSinceMillis = -1;
    if (ready && !of.isHealthy) {
      of.isHealthy = true;
      resendAll(); // It may have come back with less than others have, or with nothing.
    } else if (!ready) {
      markUnhealthy(of);
    }
  }

  /** The connection to a node is lost. */
  public void onConnectionLost(String node, long now, List<ClientAction> out) {
    NodeHealth of = healthOf(node);
    of.unansweredSinceMillis = -1;
    markUnhealthy(of);
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      if (call.triedNodes.contains(node)) {
        sendToNextNode(call, now, out);
      }
    }
  }

  // What only the lost node had heard from this gatekeeper is told to those that stand in for it.
  private void markUnhealthy(NodeHealth node) {
    if (node.isHealthy) {
      node.isHealthy = false;
      resendAll();
    }
  }

  private void resendAll() {
    resendQueue.clear();
    resendQueue.addAll(ownSums.keySet());
  }

  /** Time goes by. */
  public void tick(long now, List<ClientAction> out) {
    nodes.forEach(
        (id, node) -> {
          if (node.unansweredSinceMillis >= 0
              && now - node.unansweredSinceMillis > timeouts.nodeTimeoutMillis) {
            markUnhealthy(node);
          }
          if (now - node.lastHeartbeatMillis >= timeouts.heartbeatIntervalMillis) {
            node.lastHeartbeatMillis = now;
            node.unansweredSinceMillis =
                node.unansweredSinceMillis < 0 ? now : node.unansweredSinceMillis;
            out.add(new SendHeartbeat(id, ++stamp));
          }
        });
    for (InFlightCall call : List.copyOf(inFlightCalls.values())) {
      if (now - call.startedMillis >= timeouts.callTimeoutMillis) {
        endCall(call, CallOutcome.TIMEOUT, 0, out);
      } else if (now - call.lastSentMillis >= timeouts.hedgeDelayMillis) {
        // Guards against the wait for a node that has stalled. It may ask a second one for nothing
        // when the
        // first is only slow; nothing is counted twice by that.
        sendToNextNode(call, now, out);
      }
    }
    for (int i = 0; i < MAX_RESENDS_PER_TICK && !resendQueue.isEmpty(); i++) {
      String name = resendQueue.poll();
      for (String id : nodesFor(name)) {
        if (nodes.get(id).isHealthy) {
          sendOwnSum(id, 0, name, now, out);
          break;
        }
      }
    }
  }

  private void endCall(
      InFlightCall call, CallOutcome result, double total, List<ClientAction> out) {
    inFlightCalls.remove(call.id);
    if (result == CallOutcome.UNREACHABLE || result == CallOutcome.REJECTED) {
      // The caller takes it for not added; it may have gone out with another call of the name
      // meanwhile.
      try {
        addToOwnSum(ownSums.get(call.name), call.amount.negated());
      } catch (CommandException e) {
        throw new IllegalStateException("a sum beyond all bounds", e);
      }
    }
    out.add(new CallEnded(call.id, call.name, result, total));
  }

  /** Whether a node is asked first for its names. */
  public boolean isHealthy(String node) {
    return healthOf(node).isHealthy;
  }
}
