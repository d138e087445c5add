package fawndock.counter.storage;

/**
 * Something was to be written to a segment whose sync had failed. The segment stays given up: the
 * way on is a snapshot of what is in memory, and a new segment after it.
 */
public final class SegmentAbandonedException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  SegmentAbandonedException() {
    super("this segment is given up: a sync of it failed");
  }
}
