package fawndock.counter.storage;

/**
 * A log that cannot be trusted beyond an offset. The storage is as it was: nothing is started on it
 * until the operator has decided.
 */
public final class CorruptLogException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  /**
   * @param offset in bytes, from the start of the file
   */
  public CorruptLogException(String file, long offset, String problem) {
    super(file + ": " + problem + " at offset " + offset);
  }
}
