package fawndock.counter.storage;

import java.io.IOException;

/** Root of the errors of the counter's storage; the message names file or directory. */
public class CounterStorageException extends IOException {
  private static final long serialVersionUID = 1L;

  public CounterStorageException(String message) {
    super(message);
  }
}
