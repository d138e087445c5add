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

/**
 * Tests that logs and snapshots of an earlier version can be read, and that the same changes
 * produce the same bytes.
 */
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

  private static Map<String, String> expectedState(String fixture) throws IOException {
    Map<String, String> state = new TreeMap<>();
    for (String line : EarlierVersionFiles.lines(fixture + "/state.txt")) {
      int space = line.indexOf(' ');
      state.put(line.substring(0, space), line.substring(space + 1));
    }
    return state;
  }

  private Recovery.Result recover(String fixture, CounterTable table) throws IOException {
    EarlierVersionFiles.copyTo(fixture, directory);
    try (FileStorage storage = new FileStorage(directory, true)) {
      return Recovery.recover(storage, table, bytes -> {});
    }
  }

  @ParameterizedTest
  @CsvSource({"first-start,28", "restarted,34", "fleet-n0,5", "fleet-n1,4", "fleet-n2,3"})
  void recovery_ofEarlierVersionsFiles_findsEveryAmountAndExpiry(String fixture, long lastRecord)
      throws IOException {
    CounterTable table = new CounterTable(1);
    Recovery.Result recovered = recover(fixture, table);
    assertEquals(expectedState(fixture), state(table, NO_TIME));
    assertEquals(lastRecord, recovered.lastSequence());
    assertEquals(List.of(), recovered.warnings());
  }

  @Test
  void recovery_ofEarlierVersionsFiles_givesSameReplies() throws IOException {
    CounterTable table = new CounterTable(1);
    Recovery.Result recovered = recover("restarted", table);
    for (String line : EarlierVersionFiles.lines("restarted/answers.txt")) {
      String[] nameAndReply = line.split("\t", 0);
      byte[] name = nameAndReply[0].getBytes(StandardCharsets.UTF_8);
      assertEquals(
          nameAndReply[1],
          String.valueOf(table.get(name, recovered.latestTimeMillis())),
          nameAndReply[0]);
    }
  }

  @Test
  void recovery_withLastByteMissing_truncatesOnlyTheTornRecord() throws IOException {
    EarlierVersionFiles.copyTo("restarted", directory);
    Path segment = directory.resolve("segment-00000000000000000029.log");
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, java.util.Arrays.copyOf(bytes, bytes.length - 1));
    CounterTable table = new CounterTable(1);
    try (FileStorage storage = new FileStorage(directory, true)) {
      Recovery.Result recovered = Recovery.recover(storage, table, read -> {});
      assertEquals(33, recovered.lastSequence());
      assertEquals(
          List.of(
              "segment-00000000000000000029.log: cut off 56 bytes of a torn record at offset 249"),
          recovered.warnings());
    }
    byte[] name = "after-snapshot".getBytes(StandardCharsets.UTF_8);
    assertEquals(new DecimalAmount(1, false), table.get(name, NO_TIME));
    assertEquals(0, table.expiryMillis(name, NO_TIME), "the torn record contained the expiry");
  }

  @ParameterizedTest
  @ValueSource(strings = {"first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2"})
  void records_ofEarlierVersion_areDecoded(String fixture) throws IOException {
    for (String file : EarlierVersionFiles.storedFiles(fixture)) {
      List<String> lines = new ArrayList<>();
      try (FileStorage storage = new FileStorage(EarlierVersionFiles.path(fixture), false)) {
        String error =
            LogVerifier.dump(
                storage,
                file,
                0,
                (record, time) -> lines.add("record " + record + " at " + time),
                new LineCollector(lines));
        assertEquals("", error);
      }
      assertEquals(EarlierVersionFiles.lines(fixture + "/" + file + ".decoded"), lines);
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

  /** One record of a file, with its changes added to a new change record. */
  private record RewrittenRecord(ChangeRecord changes, long time, long names, boolean isEnd) {}

  private static List<RewrittenRecord> readAll(String fixture, String file) throws IOException {
    LogFormat.FileKind kind =
        file.endsWith(".snap") ? LogFormat.FileKind.SNAPSHOT : LogFormat.FileKind.SEGMENT;
    long firstSequence = kind == LogFormat.FileKind.SNAPSHOT ? 1 : kind.sequenceOf(file);
    List<RewrittenRecord> records = new ArrayList<>();
    try (FileStorage storage = new FileStorage(EarlierVersionFiles.path(fixture), false);
        Storage.File storedFile = storage.open(file)) {
      RecordReader reader = new RecordReader(storedFile, firstSequence);
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
                  public void onSnapshotEnd(long nameCount) {
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
  void files_rewrittenFromSameChanges_haveSameBytes(String fixture) throws IOException {
    for (String file : EarlierVersionFiles.storedFiles(fixture)) {
      try (FileStorage storage = new FileStorage(directory, true)) {
        if (file.endsWith(".snap")) {
          rewriteSnapshot(
              storage, LogFormat.FileKind.SNAPSHOT.sequenceOf(file), readAll(fixture, file));
        } else {
          rewriteSegment(
              storage, LogFormat.FileKind.SEGMENT.sequenceOf(file), readAll(fixture, file));
        }
      }
      assertArrayEquals(
          Files.readAllBytes(EarlierVersionFiles.path(fixture).resolve(file)),
          Files.readAllBytes(directory.resolve(file)),
          file);
    }
  }

  private static void rewriteSnapshot(
      FileStorage storage, long coveredSequence, List<RewrittenRecord> records) throws IOException {
    SnapshotWriter writer = new SnapshotWriter(storage, coveredSequence);
    for (RewrittenRecord rewritten : records) {
      if (rewritten.isEnd()) {
        writer.finish(rewritten.time());
      } else {
        writer.write(rewritten.changes(), rewritten.names(), rewritten.time());
      }
    }
  }

  private static void rewriteSegment(
      FileStorage storage, long firstSequence, List<RewrittenRecord> records) throws IOException {
    LogWriter writer = new LogWriter(storage, firstSequence - 1);
    for (RewrittenRecord rewritten : records) {
      writer.append(rewritten.changes().toRecord(rewritten.time()));
    }
    writer.sync();
    writer.close();
  }

  /**
   * The operations are a whole number, a fraction with an expiry and a deleted name, committed as
   * one group.
   */
  @Test
  void logAndSnapshot_ofFixedOperations_haveSpecifiedBytes() throws IOException, CommandException {
    CounterTable table = new CounterTable(1);
    CounterOperations operations = new CounterOperations(table, Long.MAX_VALUE);
    GroupCommit commit = new GroupCommit(GroupCommit.Durability.ALWAYS, 1_000);
    commit.onResumed();
    ChangeRecord changes = commit.reserve(1_000);
    operations.add(bytes("a"), new DecimalAmount(5, false), 0, 1_000, changes);
    operations.add(bytes("bc"), DecimalAmount.parse(bytes("-1.5")), 500, 1_000, changes);
    operations.delete(bytes("a"), 1_000, changes);
    try (FileStorage storage = new FileStorage(directory, true)) {
      LogWriter log = new LogWriter(storage, 0);
      log.append(commit.nextWork(1_001).record());
      log.sync();
      log.close();
      SnapshotWriter snapshot = new SnapshotWriter(storage, 1);
      ChangeRecord snapshotChanges = new ChangeRecord(16);
      table.visitShard(shardOf(table, bytes("bc")), 1_001, snapshotChanges::putAmount);
      snapshot.write(snapshotChanges, 1, 1_002);
      snapshot.finish(1_003);
    }
    assertEquals(GOLDEN_SEGMENT, hexOfFile("segment-00000000000000000001.log"));
    assertEquals(GOLDEN_SNAPSHOT, hexOfFile("snapshot-00000000000000000001.snap"));
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
          (other, amount, expiry) -> found[0] |= java.util.Arrays.equals(other, name));
      if (found[0]) {
        return shard;
      }
    }
    throw new AssertionError("no such name");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private String hexOfFile(String file) throws IOException {
    return HexFormat.of().formatHex(Files.readAllBytes(directory.resolve(file)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"fleet-n0", "fleet-n1", "fleet-n2"})
  void replicatedSums_ofEarlierVersion_areFoundByNameAndOrigin(String fixture) throws IOException {
    CounterTable table = new CounterTable(1);
    long now = recover(fixture, table).latestTimeMillis();
    ReplicatedSums sums = new ReplicatedSums(new CounterOperations(table, Long.MAX_VALUE));
    assertEquals("9.5", sums.total("agency.1", now).toString());
    assertEquals("0.000000001", sums.total("agency.2", now).toString());
    assertEquals("2", sums.total("other", now).toString());
    assertSum("9", "2", sums.sumOf("agency.1", 7, now));
    assertSum("2.5", "0", sums.sumOf("agency.1", -8, now));
    assertSum("0.000000001", "0", sums.sumOf("agency.2", 7, now));
    assertSum("3", "1", sums.sumOf("other", Long.MAX_VALUE, now));
  }

  private static void assertSum(String expectedAdded, String expectedWithdrawn, ReplicatedSum sum) {
    assertEquals(expectedAdded, sum.added().toString());
    assertEquals(expectedWithdrawn, sum.withdrawn().toString());
  }
}
