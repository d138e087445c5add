package fawndock.counter.storage;

import java.io.IOException;

/**
 * A log that cannot be trusted beyond an offset; nothing is started on it until the operator has
 * decided.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * @param offset in bytes, from the start of the file
   */
  public CorruptLogException(String file, long offset, String what) {
    super(file + ": " + what + " at offset " + offset);
  }
}
