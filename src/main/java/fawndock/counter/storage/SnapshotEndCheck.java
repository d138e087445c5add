package fawndock.counter.storage;

/**
 * Verifies a snapshot against its end record: the snapshot is complete if the end is its last
 * change and states the number of names before it. Not thread-safe.
 */
final class SnapshotEndCheck implements ChangeRecord.Visitor {
  private static final long NO_END = -1;

  private final ChangeRecord.Visitor next;
  private long nameCount;
  private long expectedNameCount = NO_END;
  private boolean hasChangesAfterEnd;

  /**
   * @param next visitor that receives the amounts and deletions too
   */
  SnapshotEndCheck(ChangeRecord.Visitor next) {
    this.next = next;
  }

  @Override
  public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
    hasChangesAfterEnd |= expectedNameCount != NO_END;
    nameCount++;
    next.onAmount(name, amount, expiryMillis);
  }

  @Override
  public void onDeleted(byte[] name) {
    hasChangesAfterEnd |= expectedNameCount != NO_END;
    next.onDeleted(name);
  }

  @Override
  public void onSnapshotEnd(long expectedNames) {
    hasChangesAfterEnd |= expectedNameCount != NO_END;
    expectedNameCount = expectedNames;
  }

  long nameCount() {
    return nameCount;
  }

  boolean isComplete() {
    return expectedNameCount == nameCount && !hasChangesAfterEnd;
  }
}
