package fawndock.counter.storage;

/** How a stored file is, by the rules of the log; the names are printed in lower case. */
public enum FileState {
  /** Each record to the end of the file is whole. */
  WHOLE,
  /** The newest segment ends in a record that a crash cut short: recovery cuts it off. */
  TORN,
  /** Something before the end of the log is not whole or missing: no counter starts on it. */
  DAMAGED,
  /** A snapshot that was being written: it is overwritten by the next. */
  UNFINISHED,
  /** An older snapshot or segment that a whole snapshot makes superfluous: it is not read. */
  COVERED
}
