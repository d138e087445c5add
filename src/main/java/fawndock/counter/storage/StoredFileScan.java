package fawndock.counter.storage;

import java.io.IOException;

/**
 * Result of one scan of a segment or snapshot: how far its records are valid, and whether the rest
 * looks like a torn write from a crash. Recovery and verification share this rule.
 *
 * @param kind kind of the file
 * @param name name of the file
 * @param firstSequence sequence number of its first record
 * @param lastSequence sequence number of its last valid record; less than the first if there is
 *     none
 * @param validBytes size of the valid prefix of the file, in bytes
 * @param sizeBytes size of the file
 * @param hasHeader whether the header matches the file name
 * @param state WHOLE if all records are valid, TORN if no valid record follows the invalid bytes,
 *     else DAMAGED
 */
record StoredFileScan(
    LogFormat.FileKind kind,
    String name,
    long firstSequence,
    long lastSequence,
    long validBytes,
    long sizeBytes,
    boolean hasHeader,
    FileState state) {
  /** Receives the reader at each valid record, in order. */
  @FunctionalInterface
  interface RecordHandler {
    void onRecord(RecordReader reader) throws IOException;
  }

  /** Reads a file up to its end or its first invalid record. */
  static StoredFileScan scan(
      Storage storage, LogFormat.FileKind kind, String name, RecordHandler handler)
      throws IOException {
    long fileSequence = kind.sequenceOf(name);
    long firstSequence = kind == LogFormat.FileKind.SNAPSHOT ? 1 : fileSequence;
    try (Storage.File file = storage.open(name)) {
      RecordReader reader = new RecordReader(file, firstSequence);
      boolean hasHeader = reader.matchesHeader(kind, fileSequence);
      while (hasHeader && reader.next()) {
        handler.onRecord(reader);
      }
      long validBytes = hasHeader ? reader.offset() : 0;
      FileState state;
      if (hasHeader && validBytes == reader.sizeBytes()) {
        state = FileState.WHOLE;
      } else {
        state = reader.hasLaterValidRecord() ? FileState.DAMAGED : FileState.TORN;
      }
      return new StoredFileScan(
          kind,
          name,
          firstSequence,
          reader.sequence(),
          validBytes,
          reader.sizeBytes(),
          hasHeader,
          state);
    }
  }

  /**
   * Returns the state within the log: a torn record is the result of a crash only in the newest
   * segment, and damage in any other file.
   */
  FileState stateInLog(boolean isNewestSegment) {
    return state == FileState.TORN && !isNewestSegment ? FileState.DAMAGED : state;
  }
}
