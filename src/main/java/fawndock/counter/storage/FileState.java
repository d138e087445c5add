package fawndock.counter.storage;

/** State of a stored file; the constant names are printed in lower case. */
public enum FileState {
  /** Every record up to the end of the file is valid. */
  WHOLE,
  /** The newest segment ends in a record that a crash truncated; recovery removes that record. */
  TORN,
  /**
   * A record before the end of the log is corrupt or missing; a counter does not start on the log.
   */
  DAMAGED,
  /** An incomplete snapshot; the next snapshot overwrites it. */
  UNFINISHED,
  /** An older snapshot or segment that a complete snapshot replaces; it is not read. */
  COVERED
}
