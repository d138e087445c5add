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
  public enum State {
    WHOLE,
    TORN,
    DAMAGED,
    UNFINISHED,
    COVERED
  }

  /**
   * What was found of one file.
   *
   * @param first its first record, 0 for none
   * @param last its last whole record
   * @param offset where the first bytes are that are not whole, or its size
   * @param why what is wrong, empty when nothing is
   */
  public record Verdict(
      String file, State state, long first, long last, long offset, long size, String why) {
    /** The verdict as a line. */
    public String line() {
      return file
          + ": "
          + state.name().toLowerCase(java.util.Locale.ROOT)
          + ", "
          + (last < first ? "no records" : "records " + first + " to " + last)
          + ", "
          + size
          + " bytes"
          + (why.isEmpty() ? "" : ", " + why + " at offset " + offset);
    }
  }

  /** Is told of each record before its changes. */
  public interface Records {
    void record(long sequence, long time);
  }

  private static final int PIECE = 1 << 20;

  private LogVerifier() {}

  /** All files, snapshots first, each in the order of their sequences. */
  public static List<Verdict> verify(Storage disk) throws IOException {
    List<Verdict> all = new ArrayList<>();
    long base = 0;
    for (Map.Entry<Long, String> each : Recovery.files(disk, LogFormat.Kind.SNAPSHOT).entrySet()) {
      Verdict v = one(disk, each.getValue(), LogFormat.Kind.SNAPSHOT, each.getKey(), 1);
      boolean ended = v.state == State.WHOLE && ends(disk, each.getValue());
      all.add(
          ended
              ? v
              : new Verdict(
                  v.file,
                  State.DAMAGED,
                  v.first,
                  v.last,
                  v.offset,
                  v.size,
                  v.why.isEmpty() ? "no end" : v.why));
      base = ended ? each.getKey() : base;
    }
    // An older whole snapshot makes up for a damaged one as long as its segments are there.
    if (base > 0) {
      long whole = base;
      all.replaceAll(
          v ->
              v.state == State.DAMAGED && LogFormat.Kind.SNAPSHOT.sequence(v.file) < whole
                  ? new Verdict(v.file, State.COVERED, v.first, v.last, v.offset, v.size, v.why)
                  : v);
    }
    TreeMap<Long, String> segments = Recovery.files(disk, LogFormat.Kind.SEGMENT);
    Long from = segments.floorKey(base + 1);
    long expected = from == null ? base + 1 : from;
    for (Map.Entry<Long, String> each : segments.entrySet()) {
      Verdict v = one(disk, each.getValue(), LogFormat.Kind.SEGMENT, each.getKey(), each.getKey());
      if (from != null && each.getKey() < from) {
        v = new Verdict(v.file, State.COVERED, v.first, v.last, v.offset, v.size, v.why);
      } else if (each.getKey() != expected) {
        v =
            new Verdict(
                v.file,
                State.DAMAGED,
                v.first,
                v.last,
                0,
                v.size,
                "records " + expected + " to " + (each.getKey() - 1) + " are missing before it,");
      } else if (v.state == State.TORN && !each.getKey().equals(segments.lastKey())) {
        v = new Verdict(v.file, State.DAMAGED, v.first, v.last, v.offset, v.size, v.why);
      }
      expected = v.state == State.COVERED ? expected : v.last + 1;
      all.add(v);
    }
    if (disk.list().contains(SnapshotWriter.UNFINISHED)) {
      try (Storage.File file = disk.open(SnapshotWriter.UNFINISHED)) {
        all.add(
            new Verdict(
                SnapshotWriter.UNFINISHED, State.UNFINISHED, 1, 0, file.size(), file.size(), ""));
      }
    }
    return all;
  }

  private static Verdict one(
      Storage disk, String name, LogFormat.Kind kind, long sequence, long first)
      throws IOException {
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, first);
      if (!reader.begins(kind, sequence)) {
        return new Verdict(
            name,
            reader.wholeLater() ? State.DAMAGED : State.TORN,
            first,
            first - 1,
            0,
            reader.size(),
            "no file header");
      }
      while (reader.next()) {
        // Goes to the end, or to what is not whole.
      }
      if (reader.offset() == reader.size()) {
        return new Verdict(
            name, State.WHOLE, first, reader.sequence(), reader.size(), reader.size(), "");
      }
      boolean damaged = reader.wholeLater();
      return new Verdict(
          name,
          damaged ? State.DAMAGED : State.TORN,
          first,
          reader.sequence(),
          reader.offset(),
          reader.size(),
          (damaged ? "damaged" : "torn") + " record " + (reader.sequence() + 1));
    }
  }

  private static boolean ends(Storage disk, String name) throws IOException {
    long[] names = {0, -1};
    dump(
        disk,
        name,
        0,
        (record, time) -> {},
        new ChangeRecord.Reader() {
          @Override
          public void set(byte[] each, DecimalAmount amount, long expiry) {
            names[0]++;
          }

          @Override
          public void deleted(byte[] each) {}

          @Override
          public void end(long many) {
            names[1] = many;
          }
        });
    return names[0] == names[1];
  }

  /** Tells the records of one file; returns what is wrong after the last whole one, or nothing. */
  public static String dump(
      Storage disk, String name, long from, Records records, ChangeRecord.Reader changes)
      throws IOException {
    boolean snapshot = LogFormat.Kind.SNAPSHOT.sequence(name) >= 0;
    LogFormat.Kind kind = snapshot ? LogFormat.Kind.SNAPSHOT : LogFormat.Kind.SEGMENT;
    long sequence = kind.sequence(name);
    if (sequence < 0) {
      return "expected a segment or a snapshot by its name";
    }
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, snapshot ? 1 : sequence);
      if (!reader.begins(kind, sequence)) {
        return "no file header";
      }
      while (reader.next()) {
        if (reader.sequence() >= from) {
          records.record(reader.sequence(), reader.body().getLong());
          try {
            ChangeRecord.read(reader.body(), changes);
          } catch (IllegalArgumentException e) {
            return e.getMessage() + " in record " + reader.sequence();
          }
        }
      }
      return reader.offset() == reader.size()
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
    for (Verdict v : verify(disk)) {
      boolean segment = LogFormat.Kind.SEGMENT.sequence(v.file) >= 0;
      if (v.state != State.DAMAGED && !(cut && segment)) {
        continue;
      }
      if (segment && !cut && v.offset > 0) {
        steps.add(
            v.file + ": cut from " + v.size + " to " + v.offset + " bytes, after record " + v.last);
        if (really) {
          cutOff(disk, v);
        }
      } else {
        steps.add(
            v.file
                + ": set aside, "
                + (v.last < v.first ? "no records" : "records " + v.first + " to " + v.last));
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
  private static void cutOff(Storage disk, Verdict v) throws IOException {
    try (Storage.File file = disk.open(v.file);
        Storage.File rest = disk.create(v.file + ".cut")) {
      ByteBuffer piece = ByteBuffer.allocate(PIECE);
      for (long at = v.offset; at < v.size; at += piece.limit()) {
        file.read(piece.clear(), at);
        rest.write(piece.flip(), at - v.offset);
      }
      rest.sync();
      disk.sync();
      file.truncate(v.offset);
      file.sync();
    }
  }
}
