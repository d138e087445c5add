package fawndock.counter.storage;

import java.io.IOException;

/**
 * What one pass over a segment or snapshot has found: how far its records are whole, and whether
 * what follows looks like the tail of a crash. Recovery and verification share this rule.
 *
 * @param kind of the file
 * @param name of the file
 * @param firstRecord sequence of its first record
 * @param lastRecord sequence of its last whole record; below the first when there is none
 * @param wholeBytes where the first bytes are that are not whole, or the size
 * @param sizeBytes of the file
 * @param hasHeader whether it begins as its name says
 * @param state WHOLE, TORN when no whole record follows what is not whole, else DAMAGED
 */
record StoredFileScan(
    LogFormat.FileKind kind,
    String name,
    long firstRecord,
    long lastRecord,
    long wholeBytes,
    long sizeBytes,
    boolean hasHeader,
    FileState state) {
  /** Is called with the reader at each whole record, in order. */
  @FunctionalInterface
  interface RecordHandler {
    void onRecord(RecordReader reader) throws IOException;
  }

  /** Reads a file to its end, or to the first record that is not whole. */
  static StoredFileScan scan(
      Storage storage, LogFormat.FileKind kind, String name, RecordHandler handler)
      throws IOException {
    long fileSequence = kind.sequenceOf(name);
    long firstRecord = kind == LogFormat.FileKind.SNAPSHOT ? 1 : fileSequence;
    try (Storage.File file = storage.open(name)) {
      RecordReader reader = new RecordReader(file, firstRecord);
      boolean hasHeader = reader.matchesHeader(kind, fileSequence);
      while (hasHeader && reader.next()) {
        handler.onRecord(reader);
      }
      long wholeBytes = hasHeader ? reader.offset() : 0;
      FileState state;
      if (hasHeader && wholeBytes == reader.sizeBytes()) {
        state = FileState.WHOLE;
      } else {
        state = reader.hasLaterWholeRecord() ? FileState.DAMAGED : FileState.TORN;
      }
      return new StoredFileScan(
          kind,
          name,
          firstRecord,
          reader.sequence(),
          wholeBytes,
          reader.sizeBytes(),
          hasHeader,
          state);
    }
  }

  /**
   * The state within the log: a torn record is the tail of a crash in the newest segment alone, and
   * damage anywhere else.
   */
  FileState stateInLog(boolean isNewestSegment) {
    return state == FileState.TORN && !isNewestSegment ? FileState.DAMAGED : state;
  }
}
