package fawndock.counter.storage;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * When changes go to the log, and when their answers may go out. While one record is written and
 * synced, what comes meanwhile gathers in the next: one sync serves all that wait. One is open and
 * one is on its way, no more; when the open one is full, calls are turned away at once rather than
 * made to wait for a third.
 *
 * <p>The open one is offered to the writer of the log, which takes it as soon as it is done with
 * the one before, without asking. What is offered and not taken can be withdrawn, and goes on
 * gathering.
 */
public final class GroupCommit {
  /** Which crash an acknowledged change outlasts. */
  public enum Durability {
    /** Any: it is synced before it is acknowledged. */
    ALWAYS,
    /** One of the process a moment later; one of the machine after the interval. */
    INTERVAL,
    /** One of the process a moment later; one of the machine when the system has written it. */
    NONE
  }

  /**
   * What is to be done with the log.
   *
   * @param record to append, or null
   * @param sync whether to sync then
   * @param number of the group, which answers wait for
   */
  public record Work(ByteBuffer record, boolean sync, long number) {}

  private static final int FIRST_SIZE = 1 << 16;
  private final Durability durability;
  private final long intervalMillis;

  private record Leaving(ChangeRecord changes, boolean sync) {}

  private final ArrayDeque<ChangeRecord> spare = new ArrayDeque<>();
  private final ArrayDeque<Leaving> leaving = new ArrayDeque<>();
  private ChangeRecord open = new ChangeRecord(FIRST_SIZE);
  private long number = 1;
  private Leaving offered;
  private boolean unsynced;
  private long syncedAt;
  private String refusal = "LOADING the counter is starting, nothing was added";

  /**
   * Nothing to be committed; refuses changes until {@link #resumed}.
   *
   * @param intervalMillis between syncs when by interval
   */
  public GroupCommit(Durability durability, long intervalMillis) {
    this.durability = durability;
    this.intervalMillis = intervalMillis;
  }

  /**
   * The changes to note in, if so many more bytes of them may be made now.
   *
   * @throws CommandException when they may not: nothing must be changed then
   */
  public ChangeRecord room(long bytes) throws CommandException {
    if (refusal != null) {
      throw new CommandException(refusal);
    }
    if (!open.room(bytes)) {
      // Guards against waits that grow with the load. May turn away a burst that the disk would
      // have taken.
      throw new CommandException("BUSY the log is behind, nothing was added");
    }
    return open;
  }

  /** The group that an answer to a change made just now waits for, or 0 when it need not wait. */
  public long awaited() {
    return durability == Durability.ALWAYS ? number : 0;
  }

  /** The number of the open group; all changes made so far are in it or in earlier ones. */
  public long open() {
    return number;
  }

  private boolean due(long now) {
    return durability == Durability.ALWAYS
        || durability == Durability.INTERVAL && now - syncedAt >= intervalMillis;
  }

  /** What to do next, or null when something is being done or offered, or nothing is to be done. */
  public Work next(long now) {
    if (!leaving.isEmpty() || offered != null || refusal != null) {
      return null;
    }
    boolean due = due(now);
    if (open.isEmpty()) {
      if (!due || !unsynced) {
        return null;
      }
      syncedAt = now;
      leaving.add(new Leaving(null, true));
      return new Work(null, true, number - 1);
    }
    offered = new Leaving(open, due);
    Work work = new Work(open.record(now), due, number);
    taken();
    syncedAt = due ? now : syncedAt;
    return work;
  }

  /**
   * The open group, for the writer to take when it is done with what it has; null when there is
   * none to offer.
   */
  public Work offer(long now) {
    if (leaving.isEmpty() || offered != null || refusal != null || open.isEmpty()) {
      return null;
    }
    offered = new Leaving(open, due(now));
    return new Work(open.record(now), offered.sync, number);
  }

  /**
   * Whether a group is offered: it must be withdrawn, or known to be taken, before more is noted in
   * it.
   */
  public boolean offered() {
    return offered != null;
  }

  /** What was offered was not taken and is open again. */
  public void withdrawn() {
    offered = null;
  }

  /** What was offered is on its way. */
  public void taken() {
    leaving.add(offered);
    unsynced = true;
    offered = null;
    number++;
    open = spare.isEmpty() ? new ChangeRecord(FIRST_SIZE) : spare.poll();
  }

  /** The work with this number is done. */
  public void done(long which) {
    if (offered != null && which == number) {
      taken();
    }
    Leaving done = leaving.poll();
    unsynced &= !done.sync || !leaving.isEmpty();
    free(done);
    refusal = null;
  }

  private void free(Leaving done) {
    if (done.changes != null) {
      done.changes.clear();
      spare.add(done.changes);
    }
  }

  /**
   * The work is not done: it is tried again, or its file is given up. No changes until it is done
   * or resumed.
   */
  public void stalled(String why) {
    refusal = "MISCONF the log cannot be written (" + why + "), nothing was added";
  }

  /** A new file holds all that is in memory; nothing may be offered. */
  public void resumed() {
    leaving.forEach(this::free);
    leaving.clear();
    unsynced = false;
    refusal = null;
  }

  /** Bytes of changes in the open group. */
  public int pending() {
    return open.size();
  }

  /** Whether nothing is left to be done. */
  public boolean idle() {
    return leaving.isEmpty() && open.isEmpty();
  }

  /** Why changes are refused, or null. */
  public String refusal() {
    return refusal;
  }
}
