package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Verifies a log by the rules of {@link Recovery} without starting a counter on it, and truncates a
 * damaged log when the operator confirms.
 */
public final class LogVerifier {
  /**
   * Result of the verification of one file.
   *
   * @param file name of the file
   * @param state state of the file within the log
   * @param firstSequence sequence number of its first record
   * @param lastSequence sequence number of its last valid record; less than the first if there is
   *     none
   * @param validBytes size of the valid prefix of the file, in bytes
   * @param sizeBytes size of the file
   * @param problem description of the damage, empty if there is none
   */
  public record FileReport(
      String file,
      FileState state,
      long firstSequence,
      long lastSequence,
      long validBytes,
      long sizeBytes,
      String problem) {
    static FileReport of(StoredFileScan scan, FileState state, String problem) {
      return new FileReport(
          scan.name(),
          state,
          scan.firstSequence(),
          scan.lastSequence(),
          scan.validBytes(),
          scan.sizeBytes(),
          problem);
    }

    FileReport withState(FileState newState) {
      return new FileReport(
          file, newState, firstSequence, lastSequence, validBytes, sizeBytes, problem);
    }

    /** Returns the report as one line of text. */
    public String describe() {
      return file
          + ": "
          + state.name().toLowerCase(Locale.ROOT)
          + ", "
          + describeRecords()
          + ", "
          + sizeBytes
          + " bytes"
          + (problem.isEmpty() ? "" : ", " + problem + " at offset " + validBytes);
    }

    String describeRecords() {
      return lastSequence < firstSequence
          ? "no records"
          : "records " + firstSequence + " to " + lastSequence;
    }

    boolean isSegment() {
      return LogFormat.FileKind.SEGMENT.sequenceOf(file) >= 0;
    }
  }

  /** Receives each record before its changes. */
  @FunctionalInterface
  public interface RecordListener {
    void onRecord(long sequence, long timeMillis);
  }

  /** Suffix for the name of a file that is set aside. */
  private static final String SET_ASIDE_SUFFIX = ".cut";

  private static final int COPY_BUFFER_BYTES = 1 << 20;

  private static final ChangeRecord.Visitor NO_OP_VISITOR =
      new ChangeRecord.Visitor() {
        @Override
        public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {}

        @Override
        public void onDeleted(byte[] name) {}

        @Override
        public void onSnapshotEnd(long names) {}
      };

  private LogVerifier() {}

  /** Returns a report for each file, snapshots first, each kind in order of sequence numbers. */
  public static List<FileReport> verify(Storage storage) throws IOException {
    List<FileReport> reports = new ArrayList<>();
    long baseSequence = verifySnapshots(storage, reports);
    verifySegments(storage, baseSequence, reports);
    if (storage.list().contains(SnapshotWriter.UNFINISHED_FILE)) {
      reports.add(unfinishedSnapshot(storage));
    }
    return reports;
  }

  /**
   * Returns the last record that the newest complete snapshot covers, or 0 if there is no complete
   * snapshot.
   */
  private static long verifySnapshots(Storage storage, List<FileReport> reports)
      throws IOException {
    long baseSequence = 0;
    for (Map.Entry<Long, String> snapshot :
        LogFormat.FileKind.SNAPSHOT.filesBySequence(storage).entrySet()) {
      FileReport report = verifySnapshot(storage, snapshot.getValue());
      reports.add(report);
      baseSequence = report.state() == FileState.WHOLE ? snapshot.getKey() : baseSequence;
    }
    if (baseSequence > 0) {
      // A damaged snapshot is not needed if a newer one is complete. An older complete snapshot
      // replaces a damaged one only as long as its segments exist.
      long newestComplete = baseSequence;
      reports.replaceAll(
          report ->
              report.state() == FileState.DAMAGED
                      && LogFormat.FileKind.SNAPSHOT.sequenceOf(report.file()) < newestComplete
                  ? report.withState(FileState.COVERED)
                  : report);
    }
    return baseSequence;
  }

  private static FileReport verifySnapshot(Storage storage, String name) throws IOException {
    SnapshotEndCheck check = new SnapshotEndCheck(NO_OP_VISITOR);
    boolean[] hasBadChange = {false};
    StoredFileScan scan =
        StoredFileScan.scan(
            storage,
            LogFormat.FileKind.SNAPSHOT,
            name,
            reader -> {
              try {
                ChangeRecord.visitBody(reader.body(), check);
              } catch (IllegalArgumentException e) {
                hasBadChange[0] = true; // Reported as a snapshot without an end record.
              }
            });
    if (scan.state() == FileState.WHOLE && check.isComplete() && !hasBadChange[0]) {
      return FileReport.of(scan, FileState.WHOLE, "");
    }
    String problem = scan.state() == FileState.WHOLE ? "no end record" : problem(scan);
    return FileReport.of(scan, FileState.DAMAGED, problem);
  }

  private static String problem(StoredFileScan scan) {
    if (!scan.hasHeader()) {
      return "no file header";
    }
    String what = scan.state() == FileState.DAMAGED ? "damaged" : "torn";
    return what + " record " + (scan.lastSequence() + 1);
  }

  private static void verifySegments(Storage storage, long baseSequence, List<FileReport> reports)
      throws IOException {
    SegmentChain chain = SegmentChain.after(storage, baseSequence);
    long expectedFirst = chain.firstNeeded() == null ? baseSequence + 1 : chain.firstNeeded();
    for (Map.Entry<Long, String> segment : chain.all().entrySet()) {
      FileReport report = verifySegment(storage, chain, segment, expectedFirst);
      if (report.state() != FileState.COVERED) {
        expectedFirst = report.lastSequence() + 1;
      }
      reports.add(report);
    }
  }

  private static FileReport verifySegment(
      Storage storage, SegmentChain chain, Map.Entry<Long, String> segment, long expectedFirst)
      throws IOException {
    long firstSequence = segment.getKey();
    StoredFileScan scan =
        StoredFileScan.scan(storage, LogFormat.FileKind.SEGMENT, segment.getValue(), reader -> {});
    String problem = scan.state() == FileState.WHOLE ? "" : problem(scan);
    if (chain.isCovered(firstSequence)) {
      return FileReport.of(scan, FileState.COVERED, problem);
    }
    if (firstSequence != expectedFirst) {
      return new FileReport(
          scan.name(),
          FileState.DAMAGED,
          scan.firstSequence(),
          scan.lastSequence(),
          0,
          scan.sizeBytes(),
          SegmentChain.missingRecords(expectedFirst, firstSequence) + "it,");
    }
    return FileReport.of(scan, scan.stateInLog(chain.isNewest(firstSequence)), problem);
  }

  private static FileReport unfinishedSnapshot(Storage storage) throws IOException {
    try (Storage.File file = storage.open(SnapshotWriter.UNFINISHED_FILE)) {
      long size = file.size();
      return new FileReport(
          SnapshotWriter.UNFINISHED_FILE, FileState.UNFINISHED, 1, 0, size, size, "");
    }
  }

  /**
   * Passes the records of one file, starting at a sequence number, to the listener and the visitor;
   * returns a description of the damage after the last valid record, or an empty string.
   */
  public static String dump(
      Storage storage,
      String name,
      long fromSequence,
      RecordListener recordListener,
      ChangeRecord.Visitor changeVisitor)
      throws IOException {
    boolean isSnapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name) >= 0;
    LogFormat.FileKind kind = isSnapshot ? LogFormat.FileKind.SNAPSHOT : LogFormat.FileKind.SEGMENT;
    long sequence = kind.sequenceOf(name);
    if (sequence < 0) {
      return "expected a segment or a snapshot, identified by its name";
    }
    try (Storage.File file = storage.open(name)) {
      RecordReader reader = new RecordReader(file, isSnapshot ? 1 : sequence);
      if (!reader.matchesHeader(kind, sequence)) {
        return "no file header";
      }
      while (reader.next()) {
        if (reader.sequence() >= fromSequence) {
          recordListener.onRecord(reader.sequence(), reader.body().getLong());
          try {
            ChangeRecord.visitBody(reader.body(), changeVisitor);
          } catch (IllegalArgumentException e) {
            return e.getMessage() + " in record " + reader.sequence();
          }
        }
      }
      return reader.offset() == reader.sizeBytes()
          ? ""
          : "record "
              + (reader.sequence() + 1)
              + " is truncated or corrupt, at offset "
              + reader.offset();
    }
  }

  /**
   * Truncates the log before its first damaged record, and renames the later segments and the
   * damaged snapshots. Returns the steps, one line each.
   *
   * @param isConfirmed whether to perform the steps
   */
  public static List<String> truncate(Storage storage, boolean isConfirmed) throws IOException {
    List<String> steps = new ArrayList<>();
    boolean isLogCut = false;
    for (FileReport report : verify(storage)) {
      boolean isSegment = report.isSegment();
      if (report.state() != FileState.DAMAGED && !(isLogCut && isSegment)) {
        continue;
      }
      if (isSegment && !isLogCut && report.validBytes() > 0) {
        steps.add(describeCut(report));
        if (isConfirmed) {
          cutOffTail(storage, report);
        }
      } else {
        steps.add(report.file() + ": set aside, " + report.describeRecords());
        if (isConfirmed) {
          storage.rename(report.file(), report.file() + SET_ASIDE_SUFFIX);
        }
      }
      isLogCut |= isSegment;
    }
    if (isConfirmed) {
      storage.sync();
    }
    return steps;
  }

  private static String describeCut(FileReport report) {
    return report.file()
        + ": cut from "
        + report.sizeBytes()
        + " to "
        + report.validBytes()
        + " bytes, after record "
        + report.lastSequence();
  }

  /** Copies the bytes after the valid prefix to a new file, then truncates the segment. */
  private static void cutOffTail(Storage storage, FileReport report) throws IOException {
    try (Storage.File file = storage.open(report.file());
        Storage.File tail = storage.create(report.file() + SET_ASIDE_SUFFIX)) {
      ByteBuffer buffer = ByteBuffer.allocate(COPY_BUFFER_BYTES);
      long start = report.validBytes();
      for (long offset = start; offset < report.sizeBytes(); offset += buffer.limit()) {
        file.read(buffer.clear(), offset);
        tail.write(buffer.flip(), offset - start);
      }
      tail.sync();
      storage.sync();
      file.truncate(start);
      file.sync();
    }
  }
}
