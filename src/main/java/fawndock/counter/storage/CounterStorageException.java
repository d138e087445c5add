package fawndock.counter.storage;

import java.io.IOException;

/** Base class of the errors of the counter storage; the message names the file or directory. */
public class CounterStorageException extends IOException {
  private static final long serialVersionUID = 1L;

  public CounterStorageException(String message) {
    super(message);
  }
}
