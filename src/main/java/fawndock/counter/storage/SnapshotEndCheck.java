package fawndock.counter.storage;

/**
 * Holds a snapshot against its end record: it is complete when the end is the last change and has
 * the number of names before it.
 */
final class SnapshotEndCheck implements ChangeRecord.Visitor {
  private static final long NO_END = -1;

  private final ChangeRecord.Visitor next;
  private long nameCount;
  private long endCount = NO_END;
  private boolean hasChangesAfterEnd;

  /**
   * @param next is shown the amounts too
   */
  SnapshotEndCheck(ChangeRecord.Visitor next) {
    this.next = next;
  }

  @Override
  public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
    hasChangesAfterEnd |= endCount != NO_END;
    nameCount++;
    next.onAmount(name, amount, expiryMillis);
  }

  @Override
  public void onDeleted(byte[] name) {
    hasChangesAfterEnd |= endCount != NO_END;
    next.onDeleted(name);
  }

  @Override
  public void onSnapshotEnd(long names) {
    hasChangesAfterEnd |= endCount != NO_END;
    endCount = names;
  }

  long nameCount() {
    return nameCount;
  }

  boolean isComplete() {
    return endCount == nameCount && !hasChangesAfterEnd;
  }
}
