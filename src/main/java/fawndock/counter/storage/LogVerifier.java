package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Looks through a log without starting on it, and cuts a damaged one on the operator's word. */
public final class LogVerifier {
  /** How a file is. */
  public enum FileState {
    WHOLE,
    TORN,
    DAMAGED,
    UNFINISHED,
    COVERED
  }

  /**
   * What was found of one file.
   *
   * @param firstRecord its first record, 0 for none
   * @param lastRecord its last whole record
   * @param wholeBytes where the first bytes are that are not whole, or its size
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
    /** The verdict as a line. */
    public String describe() {
      return file
          + ": "
          + state.name().toLowerCase(java.util.Locale.ROOT)
          + ", "
          + (lastRecord < firstRecord
              ? "no records"
              : "records " + firstRecord + " to " + lastRecord)
          + ", "
          + sizeBytes
          + " bytes"
          + (problem.isEmpty() ? "" : ", " + problem + " at offset " + wholeBytes);
    }
  }

  /** Is told of each record before its changes. */
  public interface RecordListener {
    void onRecord(long sequence, long time);
  }

  private static final int PIECE = 1 << 20;

  private LogVerifier() {}

  /** All files, snapshots first, each in the order of their sequences. */
  public static List<FileReport> verify(Storage disk) throws IOException {
    List<FileReport> all = new ArrayList<>();
    long base = 0;
    for (Map.Entry<Long, String> each :
        Recovery.files(disk, LogFormat.FileKind.SNAPSHOT).entrySet()) {
      FileReport v =
          verifyFile(disk, each.getValue(), LogFormat.FileKind.SNAPSHOT, each.getKey(), 1);
      boolean ended = v.state == FileState.WHOLE && hasMatchingEnd(disk, each.getValue());
      all.add(
          ended
              ? v
              : new FileReport(
                  v.file,
                  FileState.DAMAGED,
                  v.firstRecord,
                  v.lastRecord,
                  v.wholeBytes,
                  v.sizeBytes,
                  v.problem.isEmpty() ? "no end" : v.problem));
      base = ended ? each.getKey() : base;
    }
    // An older whole snapshot makes up for a damaged one as long as its segments are there.
    if (base > 0) {
      long whole = base;
      all.replaceAll(
          v ->
              v.state == FileState.DAMAGED && LogFormat.FileKind.SNAPSHOT.sequenceOf(v.file) < whole
                  ? new FileReport(
                      v.file,
                      FileState.COVERED,
                      v.firstRecord,
                      v.lastRecord,
                      v.wholeBytes,
                      v.sizeBytes,
                      v.problem)
                  : v);
    }
    TreeMap<Long, String> segments = Recovery.files(disk, LogFormat.FileKind.SEGMENT);
    Long from = segments.floorKey(base + 1);
    long expected = from == null ? base + 1 : from;
    for (Map.Entry<Long, String> each : segments.entrySet()) {
      FileReport v =
          verifyFile(
              disk, each.getValue(), LogFormat.FileKind.SEGMENT, each.getKey(), each.getKey());
      if (from != null && each.getKey() < from) {
        v =
            new FileReport(
                v.file,
                FileState.COVERED,
                v.firstRecord,
                v.lastRecord,
                v.wholeBytes,
                v.sizeBytes,
                v.problem);
      } else if (each.getKey() != expected) {
        v =
            new FileReport(
                v.file,
                FileState.DAMAGED,
                v.firstRecord,
                v.lastRecord,
                0,
                v.sizeBytes,
                "records " + expected + " to " + (each.getKey() - 1) + " are missing before it,");
      } else if (v.state == FileState.TORN && !each.getKey().equals(segments.lastKey())) {
        v =
            new FileReport(
                v.file,
                FileState.DAMAGED,
                v.firstRecord,
                v.lastRecord,
                v.wholeBytes,
                v.sizeBytes,
                v.problem);
      }
      expected = v.state == FileState.COVERED ? expected : v.lastRecord + 1;
      all.add(v);
    }
    if (disk.list().contains(SnapshotWriter.UNFINISHED_FILE)) {
      try (Storage.File file = disk.open(SnapshotWriter.UNFINISHED_FILE)) {
        all.add(
            new FileReport(
                SnapshotWriter.UNFINISHED_FILE,
                FileState.UNFINISHED,
                1,
                0,
                file.size(),
                file.size(),
                ""));
      }
    }
    return all;
  }

  private static FileReport verifyFile(
      Storage disk, String name, LogFormat.FileKind kind, long sequence, long first)
      throws IOException {
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, first);
      if (!reader.matchesHeader(kind, sequence)) {
        return new FileReport(
            name,
            reader.hasLaterWholeRecord() ? FileState.DAMAGED : FileState.TORN,
            first,
            first - 1,
            0,
            reader.sizeBytes(),
            "no file header");
      }
      while (reader.next()) {
        // Goes to the end, or to what is not whole.
      }
      if (reader.offset() == reader.sizeBytes()) {
        return new FileReport(
            name,
            FileState.WHOLE,
            first,
            reader.sequence(),
            reader.sizeBytes(),
            reader.sizeBytes(),
            "");
      }
      boolean damaged = reader.hasLaterWholeRecord();
      return new FileReport(
          name,
          damaged ? FileState.DAMAGED : FileState.TORN,
          first,
          reader.sequence(),
          reader.offset(),
          reader.sizeBytes(),
          (damaged ? "damaged" : "torn") + " record " + (reader.sequence() + 1));
    }
  }

  private static boolean hasMatchingEnd(Storage disk, String name) throws IOException {
    long[] names = {0, -1};
    dump(
        disk,
        name,
        0,
        (record, time) -> {},
        new ChangeRecord.Visitor() {
          @Override
          public void onAmount(byte[] each, DecimalAmount amount, long expiry) {
            names[0]++;
          }

          @Override
          public void onDeleted(byte[] each) {}

          @Override
          public void onSnapshotEnd(long many) {
            names[1] = many;
          }
        });
    return names[0] == names[1];
  }

  /** Tells the records of one file; returns what is wrong after the last whole one, or nothing. */
  public static String dump(
      Storage disk, String name, long from, RecordListener records, ChangeRecord.Visitor changes)
      throws IOException {
    boolean snapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name) >= 0;
    LogFormat.FileKind kind = snapshot ? LogFormat.FileKind.SNAPSHOT : LogFormat.FileKind.SEGMENT;
    long sequence = kind.sequenceOf(name);
    if (sequence < 0) {
      return "expected a segment or a snapshot by its name";
    }
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, snapshot ? 1 : sequence);
      if (!reader.matchesHeader(kind, sequence)) {
        return "no file header";
      }
      while (reader.next()) {
        if (reader.sequence() >= from) {
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
   * snapshots. Returns the steps, a line each; takes them only when told to.
   */
  public static List<String> truncate(Storage disk, boolean really) throws IOException {
    List<String> steps = new ArrayList<>();
    boolean cut = false;
    for (FileReport v : verify(disk)) {
      boolean segment = LogFormat.FileKind.SEGMENT.sequenceOf(v.file) >= 0;
      if (v.state != FileState.DAMAGED && !(cut && segment)) {
        continue;
      }
      if (segment && !cut && v.wholeBytes > 0) {
        steps.add(
            v.file
                + ": cut from "
                + v.sizeBytes
                + " to "
                + v.wholeBytes
                + " bytes, after record "
                + v.lastRecord);
        if (really) {
          cutOff(disk, v);
        }
      } else {
        steps.add(
            v.file
                + ": set aside, "
                + (v.lastRecord < v.firstRecord
                    ? "no records"
                    : "records " + v.firstRecord + " to " + v.lastRecord));
        if (really) {
          disk.rename(v.file, v.file + ".cut");
        }
      }
      cut |= segment;
    }
    if (really) {
      disk.sync();
    }
    return steps;
  }

  /** Copies what is after the offset to a file beside it, then cuts it. */
  private static void cutOff(Storage disk, FileReport v) throws IOException {
    try (Storage.File file = disk.open(v.file);
        Storage.File rest = disk.create(v.file + ".cut")) {
      ByteBuffer piece = ByteBuffer.allocate(PIECE);
      for (long at = v.wholeBytes; at < v.sizeBytes; at += piece.limit()) {
        file.read(piece.clear(), at);
        rest.write(piece.flip(), at - v.wholeBytes);
      }
      rest.sync();
      disk.sync();
      file.truncate(v.wholeBytes);
      file.sync();
    }
  }
}
