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
  public enum Result {
    OK,
    TIMEOUT,
    UNREACHABLE,
    REFUSED
  }

  /** What the client wants done. */
  public sealed interface Out permits Ask, Here, End, Fetch, Give {}

  /**
   * Sends sums to a node and asks for the total; call 0 only tells, and nothing waits for its
   * answer.
   */
  public record Ask(String node, long call, ReplicatedSum sum) implements Out {}

  /**
   * Shows a node that this gatekeeper is there, and asks whether the node is ready; the stamp is a
   * new one each time.
   */
  public record Here(String node, long stamp) implements Out {}

  /** Asks a node for the list of nodes that it goes by. */
  public record Fetch(String node) implements Out {}

  /** Gives a node a newer list than it has; it may have lost it with all that it had. */
  public record Give(String node, MembershipList list) implements Out {}

  /** A call has ended; the total counts only when it is OK. */
  public record End(long call, String name, Result result, double total) implements Out {}

  /**
   * Times, in milliseconds.
   *
   * @param next after which the next node is asked as well
   * @param limit after which a call has ended
   * @param missing of silence after which a node is not asked first any more
   * @param here between showing that it is there
   */
  public record Times(long next, long limit, long missing, long here) {}

  private static final int TOLD_A_TICK = 200;
  private static final int MOST_NAMES = 200_000;

  private static final class Own {
    DecimalAmount plus = DecimalAmount.ZERO;
    DecimalAmount minus = DecimalAmount.ZERO;
    long until;
  }

  private static final class Node {
    boolean well = true;

    /** When something was sent that has had no answer since, or -1. */
    long waitsSince = -1;

    long hereAt = Long.MIN_VALUE / 2;
  }

  private static final class Call {
    final long id;
    final String name;
    final DecimalAmount amount;
    final long at;
    final Set<String> asked = new HashSet<>();
    long askedAt;

    Call(long id, String name, DecimalAmount amount, long at) {
      this.id = id;
      this.name = name;
      this.amount = amount;
      this.at = at;
    }
  }

  private final long origin;
  private final Times times;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Own> own = new LinkedHashMap<>();
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final ArrayDeque<String> toTell = new ArrayDeque<>();
  private final Map<String, List<String>> orders = new HashMap<>();
  private long nextCall = 1;
  private long stamp;
  private MembershipList given;

  /**
   * A client that takes every node for well until it hears otherwise.
   *
   * @param origin this start of this gatekeeper; no other has it
   */
  public ReplicaClient(long origin, List<String> nodes, Times times) {
    this.origin = origin;
    this.times = times;
    nodes.forEach(each -> this.nodes.put(each, new Node()));
  }

  /**
   * Goes by a newer list of nodes, told by one of them: each that is new to it is asked once it is
   * ready, and all sums are told anew.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adopt(MembershipList list, long now, List<Out> out) {
    if (given != null && list.version() <= given.version()) {
      return false;
    }
    given = list;
    nodes.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      nodes.computeIfAbsent(
          each,
          id -> {
            Node node = new Node();
            node.well = false; // Until it says that it has caught up.
            return node;
          });
    }
    orders.clear();
    tellAll();
    for (Call call : List.copyOf(calls.values())) {
      ask(call, now, out); // The one that was asked may be off the list.
    }
    return true;
  }

  /** The newest list that it was told, or null while it goes by the one in its settings. */
  public MembershipList given() {
    return given;
  }

  /** Adds to a name, or takes back with a negative amount; returns the call's number. */
  public long call(String name, DecimalAmount amount, long keepMillis, long now, List<Out> out)
      throws CommandException {
    Own mine = own.get(name);
    if (mine == null || mine.until <= now) {
      if (own.size() >= MOST_NAMES) {
        own.values().removeIf(o -> o.until <= now);
        if (own.size() >= MOST_NAMES) {
          throw new CommandException("OOM too many names");
        }
      }
      mine = new Own();
      mine.until = now + keepMillis;
      own.put(name, mine);
    }
    add(mine, amount);
    Call call = new Call(nextCall++, name, amount, now);
    calls.put(call.id, call);
    if (!ask(call, now, out)) {
      end(call, Result.UNREACHABLE, 0, out);
    }
    return call.id;
  }

  private static void add(Own mine, DecimalAmount amount) throws CommandException {
    if (amount.digits() >= 0) {
      mine.plus = mine.plus.plus(amount);
    } else {
      mine.minus = mine.minus.plus(amount.negated());
    }
  }

  /** Asks the first node that is well and was not asked for this call; false when there is none. */
  private boolean ask(Call call, long now, List<Out> out) {
    for (String id : order(call.name)) {
      if (nodes.get(id).well && call.asked.add(id)) {
        call.askedAt = now;
        send(id, call.id, call.name, now, out);
        return true;
      }
    }
    return false;
  }

  private void send(String id, long call, String name, long now, List<Out> out) {
    Own mine = own.get(name);
    if (mine == null || mine.until <= now) {
      return;
    }
    Node node = nodes.get(id);
    node.waitsSince = node.waitsSince < 0 ? now : node.waitsSince;
    out.add(
        new Ask(
            id, call, new ReplicatedSum(name, origin, mine.plus, mine.minus, mine.until - now)));
  }

  /**
   * The nodes of a name, by rendezvous hashing: one that goes moves only the names that were its
   * own.
   */
  private List<String> order(String name) {
    String series = ReplicatedSum.series(name);
    if (orders.size() > MOST_NAMES) {
      orders.clear();
    }
    return orders.computeIfAbsent(
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
  public void answered(String node, long id, double total, List<Out> out) {
    known(node).waitsSince = -1;
    Call call = calls.get(id);
    if (call != null) {
      end(call, Result.OK, total, out);
    }
  }

  /** A node refused a call, such as one that has not caught up; it has kept nothing of it. */
  public void refused(String node, long id, boolean notReady, long now, List<Out> out) {
    Node of = known(node);
    of.waitsSince = -1;
    if (notReady) {
      unwell(of);
    }
    Call call = calls.get(id);
    if (call != null && !ask(call, now, out)) {
      end(call, Result.REFUSED, 0, out);
    }
  }

  /** A node that is off the list by now has its answers taken, and nothing else of it matters. */
  private Node known(String node) {
    return nodes.getOrDefault(node, new Node());
  }

  /**
   * A node answered that it hears, whether it is ready, and by which version of the list of nodes
   * it goes.
   */
  public void hereAnswered(String node, boolean ready, long version, List<Out> out) {
    long mine =
        given == null
            ? MembershipList.settingsVersion(MembershipList.epoch(version))
            : given.version();
    if (version > mine) {
      out.add(new Fetch(node));
    } else if (version < mine) {
      out.add(new Give(node, given));
    }
    Node of = known(node);
    of.waitsSince = -1;
    if (ready && !of.well) {
      of.well = true;
      tellAll(); // It may have come back with less than others have, or with nothing.
    } else if (!ready) {
      unwell(of);
    }
  }

  /** The connection to a node is lost. */
  public void lost(String node, long now, List<Out> out) {
    Node of = known(node);
    of.waitsSince = -1;
    unwell(of);
    for (Call call : List.copyOf(calls.values())) {
      if (call.asked.contains(node)) {
        ask(call, now, out);
      }
    }
  }

  // What only the lost node had heard from this gatekeeper is told to those that stand in for it.
  private void unwell(Node node) {
    if (node.well) {
      node.well = false;
      tellAll();
    }
  }

  private void tellAll() {
    toTell.clear();
    toTell.addAll(own.keySet());
  }

  /** Time goes by. */
  public void tick(long now, List<Out> out) {
    nodes.forEach(
        (id, node) -> {
          if (node.waitsSince >= 0 && now - node.waitsSince > times.missing) {
            unwell(node);
          }
          if (now - node.hereAt >= times.here) {
            node.hereAt = now;
            node.waitsSince = node.waitsSince < 0 ? now : node.waitsSince;
            out.add(new Here(id, ++stamp));
          }
        });
    for (Call call : List.copyOf(calls.values())) {
      if (now - call.at >= times.limit) {
        end(call, Result.TIMEOUT, 0, out);
      } else if (now - call.askedAt >= times.next) {
        // Guards against the wait for a node that has stalled. It may ask a second one for nothing
        // when the
        // first is only slow; nothing is counted twice by that.
        ask(call, now, out);
      }
    }
    for (int i = 0; i < TOLD_A_TICK && !toTell.isEmpty(); i++) {
      String name = toTell.poll();
      for (String id : order(name)) {
        if (nodes.get(id).well) {
          send(id, 0, name, now, out);
          break;
        }
      }
    }
  }

  private void end(Call call, Result result, double total, List<Out> out) {
    calls.remove(call.id);
    if (result == Result.UNREACHABLE || result == Result.REFUSED) {
      // The caller takes it for not added; it may have gone out with another call of the name
      // meanwhile.
      try {
        add(own.get(call.name), call.amount.negated());
      } catch (CommandException e) {
        throw new IllegalStateException("a sum beyond all bounds", e);
      }
    }
    out.add(new End(call.id, call.name, result, total));
  }

  /** Whether a node is asked first for its names. */
  public boolean well(String node) {
    return known(node).well;
  }
}
