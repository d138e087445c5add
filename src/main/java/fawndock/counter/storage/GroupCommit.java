package fawndock.counter.storage;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Group commit: when changes go to the log, and when their replies may go out. While one record is
 * written and synced, changes gather in the open group: one sync serves all that wait. Used from
 * one thread.
 *
 * <p>Invariants: one group is open, and at most one is in flight besides one sync; when the open
 * one is full, changes are rejected rather than made to wait for a third. The open group may be
 * offered to the log's writer, which takes it without asking once it is done with the one before;
 * until then it can be withdrawn and gathers on.
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
   * @param record to append, or null for a sync alone
   * @param shouldSync whether to sync then
   * @param groupNumber of the last group that it makes durable
   */
  public record LogWork(ByteBuffer record, boolean shouldSync, long groupNumber) {}

  /** A group that is offered or in flight; the record is null for a sync alone. */
  private record InFlightGroup(ChangeRecord changes, boolean shouldSync) {}

  private static final int INITIAL_BYTES = 1 << 16;
  private static final long NOT_AWAITED = 0;

  private final Durability durability;
  private final long intervalMillis;
  private final ArrayDeque<ChangeRecord> spareRecords = new ArrayDeque<>();
  private final ArrayDeque<InFlightGroup> inFlight = new ArrayDeque<>();
  private ChangeRecord openRecord = new ChangeRecord(INITIAL_BYTES);
  private long openGroupNumber = 1;
  private InFlightGroup offer;
  private boolean hasUnsyncedRecords;
  private long lastSyncMillis;
  private String rejection = "LOADING the counter is starting, nothing was added";

  /**
   * Nothing to be committed; rejects changes until {@link #onResumed}.
   *
   * @param intervalMillis between syncs under {@link Durability#INTERVAL}
   */
  public GroupCommit(Durability durability, long intervalMillis) {
    this.durability = durability;
    this.intervalMillis = intervalMillis;
  }

  /**
   * The record to note changes in, if it takes so many more bytes of them.
   *
   * @throws CommandException when it does not: nothing must be changed then
   */
  public ChangeRecord reserve(long bytes) throws CommandException {
    if (rejection != null) {
      throw new CommandException(rejection);
    }
    if (!openRecord.hasCapacityFor(bytes)) {
      // Guards against waits that grow with the load. May reject a burst that the disk would have
      // taken.
      throw new CommandException("BUSY the log is behind, nothing was added");
    }
    return openRecord;
  }

  /** The group that the reply to a change made just now waits for, or 0 when it need not wait. */
  public long awaitedGroup() {
    return durability == Durability.ALWAYS ? openGroupNumber : NOT_AWAITED;
  }

  /** The number of the open group; all changes made so far are in it or in earlier ones. */
  public long openGroupNumber() {
    return openGroupNumber;
  }

  private boolean isSyncDue(long nowMillis) {
    return durability == Durability.ALWAYS
        || (durability == Durability.INTERVAL && nowMillis - lastSyncMillis >= intervalMillis);
  }

  /** What to do next, or null when something is in flight or offered, or nothing is to be done. */
  public LogWork nextWork(long nowMillis) {
    if (!inFlight.isEmpty() || offer != null || rejection != null) {
      return null;
    }
    boolean isSyncDue = isSyncDue(nowMillis);
    if (openRecord.isEmpty()) {
      return isSyncDue && hasUnsyncedRecords ? syncAlone(nowMillis) : null;
    }
    offer = new InFlightGroup(openRecord, isSyncDue);
    LogWork work = new LogWork(openRecord.toRecord(nowMillis), isSyncDue, openGroupNumber);
    onOfferTaken();
    lastSyncMillis = isSyncDue ? nowMillis : lastSyncMillis;
    return work;
  }

  private LogWork syncAlone(long nowMillis) {
    lastSyncMillis = nowMillis;
    inFlight.add(new InFlightGroup(null, true));
    return new LogWork(null, true, openGroupNumber - 1);
  }

  /**
   * Offers the open group, for the writer to take when it is done with what it has; null when there
   * is none to offer.
   */
  public LogWork offerOpenGroup(long nowMillis) {
    if (inFlight.isEmpty() || offer != null || rejection != null || openRecord.isEmpty()) {
      return null;
    }
    offer = new InFlightGroup(openRecord, isSyncDue(nowMillis));
    return new LogWork(openRecord.toRecord(nowMillis), offer.shouldSync, openGroupNumber);
  }

  /**
   * Whether a group is offered: it must be withdrawn, or known to be taken, before more is noted in
   * it.
   */
  public boolean hasOffer() {
    return offer != null;
  }

  /** The offered group was not taken and is open again. */
  public void onOfferWithdrawn() {
    offer = null;
  }

  /** The offered group is in flight, and another one open. */
  public void onOfferTaken() {
    inFlight.add(offer);
    hasUnsyncedRecords = true;
    offer = null;
    openGroupNumber++;
    openRecord = spareRecords.isEmpty() ? new ChangeRecord(INITIAL_BYTES) : spareRecords.poll();
  }

  /** The work with this number is done; the log can be written. */
  public void onWorkDone(long groupNumber) {
    if (offer != null && groupNumber == openGroupNumber) {
      onOfferTaken();
    }
    InFlightGroup done = inFlight.poll();
    hasUnsyncedRecords &= !done.shouldSync || !inFlight.isEmpty();
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
   * The work is not done: it is tried again, or its segment is given up. Changes are rejected until
   * it is done or resumed.
   */
  public void onStalled(String reason) {
    rejection = "MISCONF the log cannot be written (" + reason + "), nothing was added";
  }

  /** A new log holds all that is in memory; nothing may be offered. */
  public void onResumed() {
    inFlight.forEach(this::recycle);
    inFlight.clear();
    hasUnsyncedRecords = false;
    rejection = null;
  }

  /** Bytes of changes in the open group. */
  public int pendingBytes() {
    return openRecord.sizeBytes();
  }

  /** Whether nothing is left to be done. */
  public boolean isIdle() {
    return inFlight.isEmpty() && openRecord.isEmpty();
  }

  /** Why changes are rejected, as the error that clients get; null while they are not. */
  public String rejection() {
    return rejection;
  }
}
