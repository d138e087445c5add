package fawndock.counter.storage;

/**
 * Thrown when another process holds the lock of the storage directory; the directory is unchanged.
 */
public final class StorageInUseException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  /**
   * @param directory the locked directory
   */
  public StorageInUseException(String directory) {
    super(directory + " is in use by another counter");
  }
}
