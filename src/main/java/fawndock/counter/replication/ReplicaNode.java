package fawndock.counter.replication;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One node of several: whether it may answer, with what, and what it has to tell the others. */
public final class ReplicaNode {
  /**
   * What nodes tell each other all the time.
   *
   * @param version of the list of nodes that it goes by
   * @param start of the node; another one than before tells that it has started again
   * @param ready whether it answers
   * @param stamps of each gatekeeper that was heard of late, by it or others, the highest stamp
   */
  public record Beat(long version, long start, boolean ready, Map<Long, Long> stamps) {}

  /**
   * Sums for another node.
   *
   * @param all whether with these it has been told everything
   */
  public record Batch(List<ReplicatedSum> sums, boolean all) {
    /** Whether there is nothing to send. */
    public boolean isEmpty() {
      return sums.isEmpty() && !all;
    }
  }

  /**
   * Times, in milliseconds.
   *
   * @param missing after which a silent node counts as cut off or dead
   * @param alone after which a node that reaches no other answers by itself; at least missing
   */
  public record Times(long missing, long alone) {}

  /** Changed sums that wait for a node; beyond it everything is told again. */
  private static final int MOST_CHANGED = 100_000;

  private static final int MOST_ORIGINS = 4_096;

  /**
   * Of silence after which a gatekeeper is no more told of, and much later forgotten, in
   * milliseconds.
   */
  private static final long ORIGIN_TOLD = 30_000;

  private static final long ORIGIN_FORGOTTEN = 3_600_000;

  /** The highest stamp of a gatekeeper, and when it was first heard here. */
  private record Heard(long stamp, long at) {}

  private record Part(String name, long origin) {}

  /** What is known of another node, and what it has yet to be told. */
  private static final class Other {
    long heardAt;

    /** Which start of it was heard, or null. */
    Long start;

    boolean ready;
    boolean gaveAll;

    /** When it last answered that this node is not on its list. */
    long strangeAt = Long.MIN_VALUE / 2;

    Set<Part> changed = new LinkedHashSet<>();

    /** Next shard of everything to be told, or -1 when that is done. */
    int shard;

    /** When what was taken for it last was sent, or -1 when that has arrived. */
    long sentAt = -1;
  }

  private final ReplicatedSums sums;
  private final Times times;
  private final String id;
  private final long start;
  private final Map<String, Other> others = new TreeMap<>();
  private final Map<Long, Heard> origins = new HashMap<>();
  private final AddRateEstimator rates = new AddRateEstimator();
  private final long startedAt;
  private long toldAt;
  private boolean ready;
  private long version;
  private long highestHeard;

  /** The list that was given while it ran, or null while it goes by the one in its settings. */
  private MembershipList given;

  /**
   * A node that has just started, by the list in its settings.
   *
   * @param id its own name
   * @param others the names of the others on the list
   * @param epoch of the list
   * @param start that no start of this node had before
   */
  public ReplicaNode(
      String id,
      List<String> others,
      long epoch,
      long start,
      Times times,
      ReplicatedSums sums,
      long now) {
    this.id = id;
    this.sums = sums;
    this.times = times;
    this.start = start;
    this.startedAt = now;
    version = MembershipList.settingsVersion(epoch);
    ready = others.isEmpty();
    others.forEach(each -> join(each, now));
  }

  private void join(String each, long now) {
    Other other = new Other();
    other.heardAt = now - times.missing - 1; // Not heard yet.
    others.put(each, other);
  }

  /**
   * Goes by a newer list of nodes; what it has counted stays. Those that are on it for the first
   * time are told everything once they are heard.
   *
   * @return false when it has this list, or a newer one
   */
  public boolean adopt(MembershipList list, long now) {
    if (list.version() <= version) {
      return false;
    }
    version = list.version();
    given = list;
    others.keySet().retainAll(list.addresses().keySet());
    for (String each : list.addresses().keySet()) {
      if (!each.equals(id) && !others.containsKey(each)) {
        join(each, now);
      }
    }
    return true;
  }

  /** The list that was given while it ran, or null. */
  public MembershipList given() {
    return given;
  }

  /** What to answer one that goes by an older list; null when there is nothing to tell. */
  public MembershipList newerThan(long theirs) {
    return given != null && given.version() > theirs ? given : null;
  }

  /** Whether it may answer gatekeepers. */
  public boolean ready() {
    return ready && !fenced();
  }

  /**
   * Whether it was taken off the list, or its list is out of date: its totals may lack what others
   * count.
   */
  public boolean fenced() {
    return highestHeard > version || given != null && !given.addresses().containsKey(id);
  }

  /** The version of the list that it goes by. */
  public long version() {
    return version;
  }

  /** The other nodes on the list. */
  public Set<String> others() {
    return others.keySet();
  }

  /** Whether another node was heard of late. */
  public boolean hears(String other, long now) {
    return now - others.get(other).heardAt <= times.missing;
  }

  /** Sums that another node has yet to be told; -1 for everything. */
  public int lag(String other) {
    Other of = others.get(other);
    return of.shard >= 0 ? -1 : of.changed.size();
  }

  /**
   * A gatekeeper tells its sums and asks for the total.
   *
   * @throws CommandException when this node may not answer, or cannot take the sums
   */
  public DecimalAmount ask(ReplicatedSum sum, long now, ChangeRecord to) throws CommandException {
    if (fenced()) {
      throw new CommandException("FENCED a newer list of nodes is in use, nothing was added");
    }
    if (!ready) {
      throw new CommandException(
          "LOADING this node has not caught up with the others, nothing was added");
    }
    take(sum, "", now, to);
    rates.seen(sum.name(), now);
    return withUnheard(sum.name(), now);
  }

  /** Another node tells a gatekeeper's sums. */
  public void told(String from, ReplicatedSum sum, long now, ChangeRecord to)
      throws CommandException {
    toldAt = now;
    take(sum, from, now, to);
  }

  private void take(ReplicatedSum sum, String from, long now, ChangeRecord to)
      throws CommandException {
    DecimalAmount grown = sums.merge(sum, now, to);
    if (grown == null) {
      return;
    }
    rates.grew(sum.name(), sum.origin(), Double.parseDouble(grown.toString()), now);
    others.forEach(
        (id, other) -> {
          // Also to others that the teller can reach: between those two the line may be cut.
          if (!id.equals(from)) {
            other.changed.add(new Part(sum.name(), sum.origin()));
            if (other.changed.size() > MOST_CHANGED) {
              other.changed.clear();
              other.shard = 0;
            }
          }
        });
  }

  /**
   * A gatekeeper shows that it is there, or another node tells that it did. Only a stamp that was
   * not heard before counts: guards against two nodes that tell each other of one that neither
   * hears, each time a little later.
   *
   * @param stamp of the gatekeeper's own, that grows each time
   */
  public void here(long origin, long stamp, long now) {
    Heard last = origins.get(origin);
    if (last == null ? origins.size() < MOST_ORIGINS : stamp > last.stamp) {
      origins.put(origin, new Heard(stamp, now));
    }
  }

  private DecimalAmount withUnheard(String name, long now) throws CommandException {
    DecimalAmount total = sums.total(name, now);
    boolean allHeard = others.values().stream().allMatch(o -> now - o.heardAt <= times.missing);
    if (allHeard) {
      return total; // A gatekeeper that no node hears counts nowhere.
    }
    double unheard = 0;
    for (Map.Entry<Long, Heard> each : origins.entrySet()) {
      if (now - each.getValue().at > times.missing) {
        unheard += rates.unheard(name, each.getKey(), each.getValue().at, now);
      }
    }
    return unheard <= 0
        ? total
        : total.plus(
            DecimalAmount.of(
                Long.toString(Math.round(unheard))
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
  }

  /** What to tell the others of, again and again. */
  public Beat beat(long now) {
    Map<Long, Long> stamps = new HashMap<>();
    origins.values().removeIf(heard -> now - heard.at > ORIGIN_FORGOTTEN);
    origins.forEach(
        (origin, heard) -> {
          if (now - heard.at <= ORIGIN_TOLD) {
            stamps.put(origin, heard.stamp);
          }
        });
    return new Beat(version, start, ready(), stamps);
  }

  /** Another node's beat. */
  public void beat(String from, Beat beat, long now) {
    Other other = others.get(from);
    highestHeard = Math.max(highestHeard, beat.version);
    if (other == null || beat.version < version) {
      return;
    }
    boolean was = now - other.heardAt <= times.missing;
    boolean again = other.start != null && other.start != beat.start;
    if (!was || again) {
      lost(from); // What it missed while it was away, or forgot, is not known: everything.
      other.gaveAll &= !again;
    }
    other.start = beat.start;
    other.heardAt = now;
    other.ready = beat.ready;
    catchUp(now);
    beat.stamps.forEach((origin, stamp) -> here(origin, stamp, now));
  }

  /** Another node answers that this one is not on its list. */
  public void strange(String from, long now) {
    others.get(from).strangeAt = now;
  }

  /** Another node has told everything that it had when it began to. */
  public void gaveAll(String from, long now) {
    Other other = others.get(from);
    if (other != null) {
      other.gaveAll = true;
      catchUp(now);
    }
  }

  // Each that is heard and ready must have told everything: one of them may itself lag behind
  // another.
  private void catchUp(long now) {
    boolean any = false;
    for (Other other : others.values()) {
      if (other.ready && now - other.heardAt <= times.missing) {
        if (!other.gaveAll) {
          return;
        }
        any = true;
      }
    }
    ready |= any;
  }

  /**
   * Time goes by: what did not arrive is told again; a node that has waited in vain begins by
   * itself.
   */
  public void tick(long now) {
    others
        .keySet()
        .forEach(
            id -> {
              Other other = others.get(id);
              if (other.sentAt >= 0 && now - other.sentAt > times.missing) {
                lost(id);
              }
            });
    catchUp(now);
    // Guards against a node that begins with nothing beside others that do not know of it yet: it
    // waits for a list of
    // nodes with both.
    boolean strange = others.values().stream().anyMatch(o -> now - o.strangeAt <= times.alone);
    if (ready || strange) {
      return;
    }
    boolean all =
        others.values().stream()
            .allMatch(o -> o.gaveAll || now - Math.max(startedAt, o.heardAt) >= times.alone);
    // Guards against a fleet in which each waits for another. It may answer with less than a node
    // that cannot be
    // reached has; the estimate does not know of that either.
    ready =
        all && now - startedAt >= times.alone
            || now - Math.max(startedAt, toldAt) >= 10 * times.alone;
  }

  /**
   * Takes what another node is to be told next; nothing while it is not heard, or has not confirmed
   * the last.
   *
   * @param most sums; a shard of everything may be more
   */
  public Batch next(String to, int most, long now) {
    Other other = others.get(to);
    List<ReplicatedSum> next = new ArrayList<>();
    if (other.sentAt >= 0 || now - other.heardAt > times.missing) {
      return new Batch(next, false);
    }
    boolean all = false;
    while (other.shard >= 0 && next.size() < most) {
      sums.visit(other.shard++, now, next::add);
      if (other.shard == sums.shards()) {
        other.shard = -1;
        all = true;
      }
    }
    Iterator<Part> changed = other.changed.iterator();
    while (next.size() < most && changed.hasNext()) {
      Part part = changed.next();
      changed.remove();
      ReplicatedSum sum = sums.of(part.name, part.origin, now);
      if (sum != null) {
        next.add(sum);
      }
    }
    other.sentAt = next.isEmpty() && !all ? -1 : now;
    return new Batch(next, all);
  }

  /** A part of what was taken last has arrived, or was answered: the rest is on its way. */
  public void arriving(String to, long now) {
    others.get(to).sentAt = now;
  }

  /** What was taken last for another node has arrived. */
  public void arrived(String to) {
    others.get(to).sentAt = -1;
  }

  /** What was taken did not arrive, or may not have: everything is told again. */
  public void lost(String to) {
    Other other = others.get(to);
    other.shard = 0;
    other.sentAt = -1;
    other.changed.clear();
  }
}
