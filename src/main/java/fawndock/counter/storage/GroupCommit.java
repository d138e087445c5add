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
   * @param shouldSync whether to sync then
   * @param groupNumber of the group, which answers wait for
   */
  public record LogWork(ByteBuffer record, boolean shouldSync, long groupNumber) {}

  private static final int INITIAL_BYTES = 1 << 16;
  private final Durability durability;
  private final long intervalMillis;

  private record InFlightGroup(ChangeRecord changes, boolean sync) {}

  private final ArrayDeque<ChangeRecord> spareRecords = new ArrayDeque<>();
  private final ArrayDeque<InFlightGroup> inFlight = new ArrayDeque<>();
  private ChangeRecord openGroup = new ChangeRecord(INITIAL_BYTES);
  private long openGroupNumber = 1;
  private InFlightGroup offered;
  private boolean hasUnsyncedRecords;
  private long lastSyncMillis;
  private String rejection = "LOADING the counter is starting, nothing was added";

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
  public ChangeRecord reserve(long bytes) throws CommandException {
    if (rejection != null) {
      throw new CommandException(rejection);
    }
    if (!openGroup.hasCapacityFor(bytes)) {
      // Guards against waits that grow with the load. May turn away a burst that the disk would
      // have taken.
      throw new CommandException("BUSY the log is behind, nothing was added");
    }
    return openGroup;
  }

  /** The group that an answer to a change made just now waits for, or 0 when it need not wait. */
  public long awaitedGroup() {
    return durability == Durability.ALWAYS ? openGroupNumber : 0;
  }

  /** The number of the open group; all changes made so far are in it or in earlier ones. */
  public long openGroup() {
    return openGroupNumber;
  }

  private boolean isSyncDue(long now) {
    return durability == Durability.ALWAYS
        || durability == Durability.INTERVAL && now - lastSyncMillis >= intervalMillis;
  }

  /** What to do next, or null when something is being done or offered, or nothing is to be done. */
  public LogWork nextWork(long now) {
    if (!inFlight.isEmpty() || offered != null || rejection != null) {
      return null;
    }
    boolean due = isSyncDue(now);
    if (openGroup.isEmpty()) {
      if (!due || !hasUnsyncedRecords) {
        return null;
      }
      lastSyncMillis = now;
      inFlight.add(new InFlightGroup(null, true));
      return new LogWork(null, true, openGroupNumber - 1);
    }
    offered = new InFlightGroup(openGroup, due);
    LogWork work = new LogWork(openGroup.toRecord(now), due, openGroupNumber);
    onOfferTaken();
    lastSyncMillis = due ? now : lastSyncMillis;
    return work;
  }

  /**
   * The open group, for the writer to take when it is done with what it has; null when there is
   * none to offer.
   */
  public LogWork offerOpenGroup(long now) {
    if (inFlight.isEmpty() || offered != null || rejection != null || openGroup.isEmpty()) {
      return null;
    }
    offered = new InFlightGroup(openGroup, isSyncDue(now));
    return new LogWork(openGroup.toRecord(now), offered.sync, openGroupNumber);
  }

  /**
   * Whether a group is offered: it must be withdrawn, or known to be taken, before more is noted in
   * it.
   */
  public boolean offered() {
    return offered != null;
  }

  /** What was offered was not taken and is open again. */
  public void onOfferWithdrawn() {
    offered = null;
  }

  /** What was offered is on its way. */
  public void onOfferTaken() {
    inFlight.add(offered);
    hasUnsyncedRecords = true;
    offered = null;
    openGroupNumber++;
    openGroup = spareRecords.isEmpty() ? new ChangeRecord(INITIAL_BYTES) : spareRecords.poll();
  }

  /** The work with this number is done. */
  public void onWorkDone(long which) {
    if (offered != null && which == openGroupNumber) {
      onOfferTaken();
    }
    InFlightGroup done = inFlight.poll();
    hasUnsyncedRecords &= !done.sync || !inFlight.isEmpty();
    recycle(done);
    rejection = null;
  }

  private void recycle(InFlightGroup done) {
    if (done.changes != null) {
      done.changes.clear();
      spareRecords.add(done.changes);
    }
  }

  /**
   * The work is not done: it is tried again, or its file is given up. No changes until it is done
   * or resumed.
   */
  public void onStalled(String why) {
    rejection = "MISCONF the log cannot be written (" + why + "), nothing was added";
  }

  /** A new file holds all that is in memory; nothing may be offered. */
  public void onResumed() {
    inFlight.forEach(this::recycle);
    inFlight.clear();
    hasUnsyncedRecords = false;
    rejection = null;
  }

  /** Bytes of changes in the open group. */
  public int pendingBytes() {
    return openGroup.sizeBytes();
  }

  /** Whether nothing is left to be done. */
  public boolean isIdle() {
    return inFlight.isEmpty() && openGroup.isEmpty();
  }

  /** Why changes are refused, or null. */
  public String rejection() {
    return rejection;
  }
}
