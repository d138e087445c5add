package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.replication.ReplicatedSum;
import fawndock.counter.replication.ReplicatedSums;
import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.DecimalAmount;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.LogFormat;
import fawndock.counter.storage.LogVerifier;
import fawndock.counter.storage.LogWriter;
import fawndock.counter.storage.RecordReader;
import fawndock.counter.storage.Recovery;
import fawndock.counter.storage.SnapshotWriter;
import fawndock.counter.storage.Storage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Logs and snapshots keep their bytes: those of an earlier version are read, and written alike. */
class StoredDataCompatibilityTest {
  private static final long NO_TIME = 0;
  @TempDir private Path directory;

  private static Map<String, String> state(CounterTable table, long now) {
    Map<String, String> state = new TreeMap<>();
    for (int shard = 0; shard < table.shardCount(); shard++) {
      table.visitShard(
          shard,
          now,
          (name, amount, expiry) ->
              state.put(HexFormat.of().formatHex(name), describe(amount, expiry)));
    }
    return state;
  }

  private static String describe(DecimalAmount amount, long expiry) {
    String kind = amount.isFraction() ? "fraction" : "whole";
    return kind + " " + amount.unscaledValue() + " expires " + expiry;
  }

  private static Map<String, String> expectedState(String from) throws IOException {
    Map<String, String> state = new TreeMap<>();
    for (String line : WrittenBefore.lines(from + "/state.txt")) {
      int space = line.indexOf(' ');
      state.put(line.substring(0, space), line.substring(space + 1));
    }
    return state;
  }

  private Recovery.Result recover(String from, CounterTable table) throws IOException {
    WrittenBefore.copyTo(from, directory);
    try (FileStorage storage = new FileStorage(directory, true)) {
      return Recovery.recover(storage, table, bytes -> {});
    }
  }

  @ParameterizedTest
  @CsvSource({"first-start,28", "restarted,34", "fleet-n0,5", "fleet-n1,4", "fleet-n2,3"})
  void recovery_filesOfTheEarlierVersion_findsEveryAmountAndExpiry(String from, long lastRecord)
      throws IOException {
    CounterTable table = new CounterTable(1);
    Recovery.Result found = recover(from, table);
    assertEquals(expectedState(from), state(table, NO_TIME));
    assertEquals(lastRecord, found.lastSequence());
    assertEquals(List.of(), found.warnings());
  }

  @Test
  void recovery_filesOfTheEarlierVersion_giveTheAnswersThatItGave() throws IOException {
    CounterTable table = new CounterTable(1);
    Recovery.Result found = recover("restarted", table);
    for (String line : WrittenBefore.lines("restarted/answers.txt")) {
      String[] nameAndAnswer = line.split("\t", 0);
      byte[] name = nameAndAnswer[0].getBytes(StandardCharsets.UTF_8);
      assertEquals(
          nameAndAnswer[1],
          String.valueOf(table.get(name, found.latestTimeMillis())),
          nameAndAnswer[0]);
    }
  }

  @Test
  void recovery_lastByteMissing_cutsOffTheTornRecordAlone() throws IOException {
    WrittenBefore.copyTo("restarted", directory);
    Path segment = directory.resolve("segment-00000000000000000029.log");
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, java.util.Arrays.copyOf(bytes, bytes.length - 1));
    CounterTable table = new CounterTable(1);
    try (FileStorage storage = new FileStorage(directory, true)) {
      Recovery.Result found = Recovery.recover(storage, table, read -> {});
      assertEquals(33, found.lastSequence());
      assertEquals(
          List.of(
              "segment-00000000000000000029.log: cut off 56 bytes of a torn record at offset 249"),
          found.warnings());
    }
    byte[] name = "after-snapshot".getBytes(StandardCharsets.UTF_8);
    assertEquals(new DecimalAmount(1, false), table.get(name, NO_TIME));
    assertEquals(0, table.expiryMillis(name, NO_TIME), "the expiry was in the torn record");
  }

  @ParameterizedTest
  @ValueSource(strings = {"first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2"})
  void records_ofTheEarlierVersion_areDecodedOneByOne(String from) throws IOException {
    for (String file : WrittenBefore.storedFiles(from)) {
      List<String> lines = new ArrayList<>();
      try (FileStorage storage = new FileStorage(WrittenBefore.path(from), false)) {
        String error =
            LogVerifier.dump(
                storage,
                file,
                0,
                (record, time) -> lines.add("record " + record + " at " + time),
                new LineCollector(lines));
        assertEquals("", error);
      }
      assertEquals(WrittenBefore.lines(from + "/" + file + ".decoded"), lines);
    }
  }

  private record LineCollector(List<String> lines) implements ChangeRecord.Visitor {
    @Override
    public void onAmount(byte[] name, DecimalAmount amount, long expiry) {
      lines.add("set " + HexFormat.of().formatHex(name) + " " + describe(amount, expiry));
    }

    @Override
    public void onDeleted(byte[] name) {
      lines.add("delete " + HexFormat.of().formatHex(name));
    }

    @Override
    public void onSnapshotEnd(long names) {
      lines.add("end " + names);
    }
  }

  /** One record of a file, its changes noted again. */
  private record RewrittenRecord(ChangeRecord changes, long time, long names, boolean isEnd) {}

  private static List<RewrittenRecord> readAll(String from, String file) throws IOException {
    LogFormat.FileKind kind =
        file.endsWith(".snap") ? LogFormat.FileKind.SNAPSHOT : LogFormat.FileKind.SEGMENT;
    long first = kind == LogFormat.FileKind.SNAPSHOT ? 1 : kind.sequenceOf(file);
    List<RewrittenRecord> records = new ArrayList<>();
    try (FileStorage storage = new FileStorage(WrittenBefore.path(from), false);
        Storage.File open = storage.open(file)) {
      RecordReader reader = new RecordReader(open, first);
      assertTrue(reader.matchesHeader(kind, kind.sequenceOf(file)), file);
      while (reader.next()) {
        ChangeRecord changes = new ChangeRecord(16);
        long[] names = {0};
        boolean[] isEnd = {false};
        long time =
            ChangeRecord.visitBody(
                reader.body(),
                new ChangeRecord.Visitor() {
                  @Override
                  public void onAmount(byte[] name, DecimalAmount amount, long expiry) {
                    changes.putAmount(name, amount, expiry);
                    names[0]++;
                  }

                  @Override
                  public void onDeleted(byte[] name) {
                    changes.putDeleted(name);
                  }

                  @Override
                  public void onSnapshotEnd(long many) {
                    isEnd[0] = true;
                  }
                });
        records.add(new RewrittenRecord(changes, time, names[0], isEnd[0]));
      }
    }
    return records;
  }

  @ParameterizedTest
  @ValueSource(strings = {"first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2"})
  void files_writtenFromTheSameChanges_haveTheSameBytes(String from) throws IOException {
    for (String file : WrittenBefore.storedFiles(from)) {
      try (FileStorage storage = new FileStorage(directory, true)) {
        if (file.endsWith(".snap")) {
          rewriteSnapshot(
              storage, LogFormat.FileKind.SNAPSHOT.sequenceOf(file), readAll(from, file));
        } else {
          rewriteSegment(storage, LogFormat.FileKind.SEGMENT.sequenceOf(file), readAll(from, file));
        }
      }
      assertArrayEquals(
          Files.readAllBytes(WrittenBefore.path(from).resolve(file)),
          Files.readAllBytes(directory.resolve(file)),
          file);
    }
  }

  private static void rewriteSnapshot(
      FileStorage storage, long covered, List<RewrittenRecord> records) throws IOException {
    SnapshotWriter writer = new SnapshotWriter(storage, covered);
    for (RewrittenRecord each : records) {
      if (each.isEnd()) {
        writer.finish(each.time());
      } else {
        writer.write(each.changes(), each.names(), each.time());
      }
    }
  }

  private static void rewriteSegment(FileStorage storage, long first, List<RewrittenRecord> records)
      throws IOException {
    LogWriter writer = new LogWriter(storage, first - 1);
    for (RewrittenRecord each : records) {
      writer.append(each.changes().toRecord(each.time()));
    }
    writer.sync();
    writer.close();
  }

  /** A whole number, a fraction with an expiry and a deleted name, committed as one group. */
  @Test
  void logAndSnapshot_ofFixedOperations_haveTheSpecifiedBytes()
      throws IOException, CommandException {
    CounterTable table = new CounterTable(1);
    CounterOperations counts = new CounterOperations(table, Long.MAX_VALUE);
    GroupCommit commit = new GroupCommit(GroupCommit.Durability.ALWAYS, 1_000);
    commit.onResumed();
    ChangeRecord changes = commit.reserve(1_000);
    counts.add(bytes("a"), new DecimalAmount(5, false), 0, 1_000, changes);
    counts.add(bytes("bc"), DecimalAmount.parse(bytes("-1.5")), 500, 1_000, changes);
    counts.delete(bytes("a"), 1_000, changes);
    try (FileStorage storage = new FileStorage(directory, true)) {
      LogWriter log = new LogWriter(storage, 0);
      log.append(commit.nextWork(1_001).record());
      log.sync();
      log.close();
      SnapshotWriter snapshot = new SnapshotWriter(storage, 1);
      ChangeRecord all = new ChangeRecord(16);
      table.visitShard(shardOf(table, bytes("bc")), 1_001, all::putAmount);
      snapshot.write(all, 1, 1_002);
      snapshot.finish(1_003);
    }
    assertEquals(GOLDEN_SEGMENT, hex("segment-00000000000000000001.log"));
    assertEquals(GOLDEN_SNAPSHOT, hex("snapshot-00000000000000000001.snap"));
  }

  private static final String GOLDEN_SEGMENT =
      "4644434c00000001000000000000000100000035603c80370000000000000001000000000000"
          + "03e901000161000000000000000500000000000000000200026263ffffffffa697d100000000"
          + "00000005dc03000161";

  private static final String GOLDEN_SNAPSHOT =
      "464443530000000100000000000000010000001d4c7eccff0000000000000001000000000000"
          + "03ea0200026263ffffffffa697d10000000000000005dc000000117e33c59e00000000000000"
          + "0200000000000003eb040000000000000001";

  private static int shardOf(CounterTable table, byte[] name) {
    boolean[] found = {false};
    for (int shard = 0; shard < table.shardCount(); shard++) {
      table.visitShard(
          shard,
          NO_TIME,
          (each, amount, expiry) -> found[0] |= java.util.Arrays.equals(each, name));
      if (found[0]) {
        return shard;
      }
    }
    throw new AssertionError("no such name");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private String hex(String file) throws IOException {
    return HexFormat.of().formatHex(Files.readAllBytes(directory.resolve(file)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"fleet-n0", "fleet-n1", "fleet-n2"})
  void replicatedSums_ofTheEarlierVersion_areFoundByNameAndOrigin(String from) throws IOException {
    CounterTable table = new CounterTable(1);
    long now = recover(from, table).latestTimeMillis();
    ReplicatedSums sums = new ReplicatedSums(new CounterOperations(table, Long.MAX_VALUE));
    assertEquals("9.5", sums.total("agency.1", now).toString());
    assertEquals("0.000000001", sums.total("agency.2", now).toString());
    assertEquals("2", sums.total("other", now).toString());
    assertSum("9", "2", sums.sumOf("agency.1", 7, now));
    assertSum("2.5", "0", sums.sumOf("agency.1", -8, now));
    assertSum("0.000000001", "0", sums.sumOf("agency.2", 7, now));
    assertSum("3", "1", sums.sumOf("other", Long.MAX_VALUE, now));
  }

  private static void assertSum(String plus, String minus, ReplicatedSum sum) {
    assertEquals(plus, sum.added().toString());
    assertEquals(minus, sum.withdrawn().toString());
  }
}
