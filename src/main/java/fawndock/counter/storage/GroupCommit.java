package fawndock.counter.storage;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Group commit: decides when changes are written to the log and when their replies may be sent.
 * While one record is written and synced, new changes collect in the open group, so that one sync
 * serves all waiting replies. Confined to one thread.
 *
 * <p>Invariants: one group is open, and at most one is in flight in addition to one sync; when the
 * open group is full, changes are rejected instead of queued in a third group. The open group may
 * be offered to the log writer, which takes it without notice as soon as it has finished the group
 * before; until then the offer can be withdrawn and the group accepts more changes.
 */
public final class GroupCommit {
  /** Which crashes an acknowledged change survives. */
  public enum Durability {
    /** All crashes: a change is synced before it is acknowledged. */
    ALWAYS,
    /**
     * A crash of the process once the change is written, shortly after; a crash of the machine
     * after the sync interval.
     */
    INTERVAL,
    /**
     * A crash of the process once the change is written, shortly after; a crash of the machine once
     * the operating system has written it to disk.
     */
    NONE
  }

  /**
   * One unit of work for the log writer.
   *
   * @param record record to append, or null for a sync only
   * @param shouldSync whether to sync after the append
   * @param groupNumber number of the last group that this work makes durable
   */
  public record LogWork(ByteBuffer record, boolean shouldSync, long groupNumber) {}

  /** A group that is offered or in flight; its changes are null for a sync only. */
  private record InFlightGroup(ChangeRecord changes, boolean shouldSync) {}

  private static final int INITIAL_RECORD_BYTES = 1 << 16;
  private static final long NO_AWAITED_GROUP = 0;

  private final Durability durability;
  private final long syncIntervalMillis;
  private final ArrayDeque<ChangeRecord> recycledRecords = new ArrayDeque<>();
  private final ArrayDeque<InFlightGroup> inFlight = new ArrayDeque<>();
  private ChangeRecord openRecord = new ChangeRecord(INITIAL_RECORD_BYTES);
  private long openGroupNumber = 1;
  private InFlightGroup offer;
  private boolean hasUnsyncedRecords;
  private long lastSyncMillis;
  private String rejection = "LOADING the counter is starting, nothing was added";

  /**
   * Creates an empty group commit that rejects changes until {@link #onResumed}.
   *
   * @param syncIntervalMillis time between syncs under {@link Durability#INTERVAL}
   */
  public GroupCommit(Durability durability, long syncIntervalMillis) {
    this.durability = durability;
    this.syncIntervalMillis = syncIntervalMillis;
  }

  /**
   * Returns the record of the open group if it has room for this number of additional bytes of
   * changes.
   *
   * @throws CommandException when changes are rejected or the group is full; the caller must then
   *     change nothing
   */
  public ChangeRecord reserve(long bytes) throws CommandException {
    if (rejection != null) {
      throw new CommandException(rejection);
    }
    if (!openRecord.hasCapacityFor(bytes)) {
      // Bounds the latency under load. May reject a burst that the disk could have written.
      throw new CommandException("BUSY the log is behind, nothing was added");
    }
    return openRecord;
  }

  /**
   * Returns the group that the reply to the latest change must wait for, or 0 if it need not wait.
   */
  public long awaitedGroup() {
    return durability == Durability.ALWAYS ? openGroupNumber : NO_AWAITED_GROUP;
  }

  /** Returns the number of the open group; all changes so far are in it or in earlier groups. */
  public long openGroupNumber() {
    return openGroupNumber;
  }

  private boolean isSyncDue(long nowMillis) {
    return durability == Durability.ALWAYS
        || (durability == Durability.INTERVAL && nowMillis - lastSyncMillis >= syncIntervalMillis);
  }

  /** Returns the next work, or null if work is in flight or offered, or there is none. */
  public LogWork nextWork(long nowMillis) {
    if (!inFlight.isEmpty() || offer != null || rejection != null) {
      return null;
    }
    boolean isSyncDue = isSyncDue(nowMillis);
    if (openRecord.isEmpty()) {
      return isSyncDue && hasUnsyncedRecords ? syncOnlyWork(nowMillis) : null;
    }
    offer = new InFlightGroup(openRecord, isSyncDue);
    LogWork work = new LogWork(openRecord.toRecord(nowMillis), isSyncDue, openGroupNumber);
    onOfferTaken();
    lastSyncMillis = isSyncDue ? nowMillis : lastSyncMillis;
    return work;
  }

  private LogWork syncOnlyWork(long nowMillis) {
    lastSyncMillis = nowMillis;
    inFlight.add(new InFlightGroup(null, true));
    return new LogWork(null, true, openGroupNumber - 1);
  }

  /**
   * Offers the open group for the writer to take once it has finished its current work; returns
   * null if there is nothing to offer.
   */
  public LogWork offerOpenGroup(long nowMillis) {
    if (inFlight.isEmpty() || offer != null || rejection != null || openRecord.isEmpty()) {
      return null;
    }
    offer = new InFlightGroup(openRecord, isSyncDue(nowMillis));
    return new LogWork(openRecord.toRecord(nowMillis), offer.shouldSync, openGroupNumber);
  }

  /**
   * Returns whether a group is offered; the offer must be withdrawn, or known to be taken, before
   * more changes are added.
   */
  public boolean hasOffer() {
    return offer != null;
  }

  /** Handles the withdrawal of the offer: the group was not taken and is open again. */
  public void onOfferWithdrawn() {
    offer = null;
  }

  /** Handles the taking of the offer: the group is in flight, and a new group is open. */
  public void onOfferTaken() {
    inFlight.add(offer);
    hasUnsyncedRecords = true;
    offer = null;
    openGroupNumber++;
    openRecord =
        recycledRecords.isEmpty() ? new ChangeRecord(INITIAL_RECORD_BYTES) : recycledRecords.poll();
  }

  /** Handles the completion of the work with this group number; the log is writable. */
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
      recycledRecords.add(done.changes);
    }
  }

  /**
   * Handles a failure of the work: it is retried, or its segment is abandoned. Changes are rejected
   * until the work completes or the log is resumed.
   */
  public void onStalled(String reason) {
    rejection = "MISCONF the log cannot be written (" + reason + "), nothing was added";
  }

  /**
   * Handles the start of a new log that contains the whole table; no group may be offered at this
   * time.
   */
  public void onResumed() {
    inFlight.forEach(this::recycle);
    inFlight.clear();
    hasUnsyncedRecords = false;
    rejection = null;
  }

  /** Returns the size of the changes in the open group, in bytes. */
  public int pendingBytes() {
    return openRecord.sizeBytes();
  }

  /** Returns whether no change is pending and no work is in flight. */
  public boolean isIdle() {
    return inFlight.isEmpty() && openRecord.isEmpty();
  }

  /** Returns the error reply with which changes are rejected, or null while they are accepted. */
  public String rejection() {
    return rejection;
  }
}
