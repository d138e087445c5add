package fawndock.counter.storage;

/** Another process has the directory; it is as it was. */
public final class StorageInUseException extends CounterStorageException {
  private static final long serialVersionUID = 1L;

  /**
   * @param directory that is locked
   */
  public StorageInUseException(String directory) {
    super(directory + " is in use by another counter");
  }
}
