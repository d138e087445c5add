package fawndock.counter.core;

import java.io.IOException;

/**
 * A log that cannot be trusted beyond an offset; nothing is started on it until the operator has
 * decided.
 */
public final class DamageException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * @param offset in bytes, from the start of the file
   */
  public DamageException(String file, long offset, String what) {
    super(file + ": " + what + " at offset " + offset);
  }
}
