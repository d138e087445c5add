package fawndock.counter.storage;

/**
 * Thrown on a write to a segment that was abandoned after a failed sync. The segment stays
 * abandoned; recovering from this takes a snapshot of the table in memory followed by a new
 * segment.
 */
public final class SegmentAbandonedException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  SegmentAbandonedException() {
    super("segment is abandoned: a sync of it failed");
  }
}
