package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks a log without starting on it, by the rules of {@link Recovery}, and cuts a damaged one on
 * the operator's word.
 */
public final class LogVerifier {
  /**
   * What was found of one file.
   *
   * @param file its name
   * @param state by the rules of the log
   * @param firstRecord its first record
   * @param lastRecord its last whole record; below the first when there is none
   * @param wholeBytes where the first bytes are that are not whole, or its size
   * @param sizeBytes its size
   * @param problem what is wrong, empty when nothing is
   */
  public record FileReport(
      String file,
      FileState state,
      long firstRecord,
      long lastRecord,
      long wholeBytes,
      long sizeBytes,
      String problem) {
    static FileReport of(StoredFileScan scan, FileState state, String problem) {
      return new FileReport(
          scan.name(),
          state,
          scan.firstRecord(),
          scan.lastRecord(),
          scan.wholeBytes(),
          scan.sizeBytes(),
          problem);
    }

    FileReport withState(FileState other) {
      return new FileReport(file, other, firstRecord, lastRecord, wholeBytes, sizeBytes, problem);
    }

    /** The report as a line. */
    public String describe() {
      return file
          + ": "
          + state.name().toLowerCase(Locale.ROOT)
          + ", "
          + describeRecords()
          + ", "
          + sizeBytes
          + " bytes"
          + (problem.isEmpty() ? "" : ", " + problem + " at offset " + wholeBytes);
    }

    String describeRecords() {
      return lastRecord < firstRecord
          ? "no records"
          : "records " + firstRecord + " to " + lastRecord;
    }

    boolean isSegment() {
      return LogFormat.FileKind.SEGMENT.sequenceOf(file) >= 0;
    }
  }

  /** Is called with each record before its changes. */
  @FunctionalInterface
  public interface RecordListener {
    void onRecord(long sequence, long timeMillis);
  }

  /** Added to the name of a file that is set aside. */
  private static final String SET_ASIDE_SUFFIX = ".cut";

  private static final int COPY_BUFFER_BYTES = 1 << 20;

  private static final ChangeRecord.Visitor NO_VISITOR =
      new ChangeRecord.Visitor() {
        @Override
        public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {}

        @Override
        public void onDeleted(byte[] name) {}

        @Override
        public void onSnapshotEnd(long names) {}
      };

  private LogVerifier() {}

  /** Reports on all files, snapshots first, each in the order of their sequences. */
  public static List<FileReport> verify(Storage storage) throws IOException {
    List<FileReport> reports = new ArrayList<>();
    long baseSequence = verifySnapshots(storage, reports);
    verifySegments(storage, baseSequence, reports);
    if (storage.list().contains(SnapshotWriter.UNFINISHED_FILE)) {
      reports.add(unfinishedSnapshot(storage));
    }
    return reports;
  }

  /** Returns the last record that the newest whole snapshot covers, 0 for none. */
  private static long verifySnapshots(Storage storage, List<FileReport> reports)
      throws IOException {
    long baseSequence = 0;
    for (Map.Entry<Long, String> each :
        LogFormat.FileKind.SNAPSHOT.filesBySequence(storage).entrySet()) {
      FileReport report = verifySnapshot(storage, each.getValue());
      reports.add(report);
      baseSequence = report.state() == FileState.WHOLE ? each.getKey() : baseSequence;
    }
    if (baseSequence > 0) {
      // An older whole snapshot makes up for a damaged one as long as its segments are there.
      long whole = baseSequence;
      reports.replaceAll(
          each ->
              each.state() == FileState.DAMAGED
                      && LogFormat.FileKind.SNAPSHOT.sequenceOf(each.file()) < whole
                  ? each.withState(FileState.COVERED)
                  : each);
    }
    return baseSequence;
  }

  private static FileReport verifySnapshot(Storage storage, String name) throws IOException {
    SnapshotEndCheck check = new SnapshotEndCheck(NO_VISITOR);
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
                hasBadChange[0] = true; // Reported as a snapshot without its end.
              }
            });
    if (scan.state() == FileState.WHOLE && check.isComplete() && !hasBadChange[0]) {
      return FileReport.of(scan, FileState.WHOLE, "");
    }
    String problem = scan.state() == FileState.WHOLE ? "no end" : problem(scan);
    return FileReport.of(scan, FileState.DAMAGED, problem);
  }

  private static String problem(StoredFileScan scan) {
    if (!scan.hasHeader()) {
      return "no file header";
    }
    String what = scan.state() == FileState.DAMAGED ? "damaged" : "torn";
    return what + " record " + (scan.lastRecord() + 1);
  }

  private static void verifySegments(Storage storage, long baseSequence, List<FileReport> reports)
      throws IOException {
    SegmentChain chain = SegmentChain.after(storage, baseSequence);
    long expectedFirst = chain.firstNeeded() == null ? baseSequence + 1 : chain.firstNeeded();
    for (Map.Entry<Long, String> each : chain.all().entrySet()) {
      FileReport report = verifySegment(storage, chain, each, expectedFirst);
      if (report.state() != FileState.COVERED) {
        expectedFirst = report.lastRecord() + 1;
      }
      reports.add(report);
    }
  }

  private static FileReport verifySegment(
      Storage storage, SegmentChain chain, Map.Entry<Long, String> segment, long expectedFirst)
      throws IOException {
    long first = segment.getKey();
    StoredFileScan scan =
        StoredFileScan.scan(storage, LogFormat.FileKind.SEGMENT, segment.getValue(), reader -> {});
    String problem = scan.state() == FileState.WHOLE ? "" : problem(scan);
    if (chain.isCovered(first)) {
      return FileReport.of(scan, FileState.COVERED, problem);
    }
    if (first != expectedFirst) {
      return new FileReport(
          scan.name(),
          FileState.DAMAGED,
          scan.firstRecord(),
          scan.lastRecord(),
          0,
          scan.sizeBytes(),
          SegmentChain.missingRecords(expectedFirst, first) + "it,");
    }
    return FileReport.of(scan, scan.stateInLog(chain.isNewest(first)), problem);
  }

  private static FileReport unfinishedSnapshot(Storage storage) throws IOException {
    try (Storage.File file = storage.open(SnapshotWriter.UNFINISHED_FILE)) {
      long size = file.size();
      return new FileReport(
          SnapshotWriter.UNFINISHED_FILE, FileState.UNFINISHED, 1, 0, size, size, "");
    }
  }

  /**
   * Shows the records of one file, from a sequence on; returns what is wrong after the last whole
   * one, or an empty text.
   */
  public static String dump(
      Storage storage,
      String name,
      long fromSequence,
      RecordListener records,
      ChangeRecord.Visitor changes)
      throws IOException {
    boolean isSnapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name) >= 0;
    LogFormat.FileKind kind = isSnapshot ? LogFormat.FileKind.SNAPSHOT : LogFormat.FileKind.SEGMENT;
    long sequence = kind.sequenceOf(name);
    if (sequence < 0) {
      return "expected a segment or a snapshot by its name";
    }
    try (Storage.File file = storage.open(name)) {
      RecordReader reader = new RecordReader(file, isSnapshot ? 1 : sequence);
      if (!reader.matchesHeader(kind, sequence)) {
        return "no file header";
      }
      while (reader.next()) {
        if (reader.sequence() >= fromSequence) {
          records.onRecord(reader.sequence(), reader.body().getLong());
          try {
            ChangeRecord.visitBody(reader.body(), changes);
          } catch (IllegalArgumentException e) {
            return e.getMessage() + " in record " + reader.sequence();
          }
        }
      }
      return reader.offset() == reader.sizeBytes()
          ? ""
          : "record " + (reader.sequence() + 1) + " is not whole, at offset " + reader.offset();
    }
  }

  /**
   * Cuts the log before its first damaged record, and sets aside the segments after it and damaged
   * snapshots. Returns the steps, a line each.
   *
   * @param isConfirmed whether to take the steps
   */
  public static List<String> truncate(Storage storage, boolean isConfirmed) throws IOException {
    List<String> steps = new ArrayList<>();
    boolean isCut = false;
    for (FileReport report : verify(storage)) {
      boolean isSegment = report.isSegment();
      if (report.state() != FileState.DAMAGED && !(isCut && isSegment)) {
        continue;
      }
      if (isSegment && !isCut && report.wholeBytes() > 0) {
        steps.add(describeCut(report));
        if (isConfirmed) {
          cutOff(storage, report);
        }
      } else {
        steps.add(report.file() + ": set aside, " + report.describeRecords());
        if (isConfirmed) {
          storage.rename(report.file(), report.file() + SET_ASIDE_SUFFIX);
        }
      }
      isCut |= isSegment;
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
        + report.wholeBytes()
        + " bytes, after record "
        + report.lastRecord();
  }

  /** Copies what is after the whole bytes to a file beside it, then cuts it. */
  private static void cutOff(Storage storage, FileReport report) throws IOException {
    try (Storage.File file = storage.open(report.file());
        Storage.File rest = storage.create(report.file() + SET_ASIDE_SUFFIX)) {
      ByteBuffer buffer = ByteBuffer.allocate(COPY_BUFFER_BYTES);
      long from = report.wholeBytes();
      for (long at = from; at < report.sizeBytes(); at += buffer.limit()) {
        file.read(buffer.clear(), at);
        rest.write(buffer.flip(), at - from);
      }
      rest.sync();
      storage.sync();
      file.truncate(from);
      file.sync();
    }
  }
}
