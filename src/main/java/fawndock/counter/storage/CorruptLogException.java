package fawndock.counter.storage;

/**
 * Thrown when the log is corrupt from an offset on. The storage is unchanged, and a counter does
 * not start on it until an operator has repaired the log.
 */
public final class CorruptLogException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  /**
   * @param offset offset in bytes from the start of the file
   */
  public CorruptLogException(String file, long offset, String problem) {
    super(file + ": " + problem + " at offset " + offset);
  }
}
