package fawndock.counter.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Counts, group commit, log, snapshots and recovery together, on a storage that fails. */
class CrashRecoveryTest {
  private static final int NAMES = 40;

  /**
   * One life of a counter, driven by chance as the host drives it; any call to the storage may be
   * its last.
   */
  private static final class CounterRun {
    final SimulatedStorage storage;
    final SplittableRandom random;
    final CounterTable table;
    final CounterOperations counts;
    final GroupCommit commit = new GroupCommit(GroupCommit.Durability.ALWAYS, 0);

    /** What the names were at the end of each group, by its number. */
    final TreeMap<Long, Map<String, String>> states = new TreeMap<>();

    final List<Long> acknowledged = new ArrayList<>();

    /**
     * What snapshots held that were begun anew since: they may have changes of the group that was
     * open.
     */
    final List<Map<String, String>> anew = new ArrayList<>();

    long time;
    LogWriter log;
    GroupCommit.LogWork work;
    GroupCommit.LogWork offered;
    SnapshotWriter snapshot;
    SnapshotIterator walk;
    Iterator<SnapshotIterator.SnapshotPart> parts;
    long covered;
    long walkedTo = -1;

    CounterRun(SimulatedStorage storage, SplittableRandom random, long time) throws IOException {
      this.storage = storage;
      this.random = random;
      table = new CounterTable(random.nextLong(), 8);
      counts = new CounterOperations(table, Long.MAX_VALUE);
      Recovery.Result found = Recovery.recover(storage, table, bytes -> {});
      this.time = Math.max(time, found.latestTimeMillis());
      states.put(0L, state(table, this.time));
      acknowledged.add(0L);
      anew(found.lastSequence());
    }

    /**
     * A snapshot of all in a new file, then a new segment: at the start and after a sync that
     * failed.
     */
    void anew(long sequence) throws IOException {
      anew.add(state(table, Long.MIN_VALUE));
      SnapshotWriter all = new SnapshotWriter(storage, sequence);
      SnapshotIterator through = new SnapshotIterator(table);
      for (List<SnapshotIterator.SnapshotPart> piece = through.next(time);
          !piece.isEmpty();
          piece = through.next(time)) {
        for (SnapshotIterator.SnapshotPart part : piece) {
          all.write(part.changes(), part.nameCount(), time);
        }
      }
      all.finish(time);
      log = new LogWriter(storage, sequence);
      SnapshotWriter.deleteObsoleteFiles(storage, sequence);
      commit.onResumed();
    }

    void step() throws IOException {
      time += random.nextInt(3);
      switch (random.nextInt(12)) {
        case 0 -> begin();
        case 1, 2 -> perform();
        case 3 -> snapshot();
        case 4 -> {
          storage.failingSyncs = random.nextInt(40) == 0 ? 1 : storage.failingSyncs;
          storage.freeBytes = random.nextInt(10) > 0 ? Long.MAX_VALUE : random.nextInt(200);
        }
        default -> change();
      }
    }

    void change() {
      openGroup();
      byte[] name = ("n" + random.nextInt(NAMES)).getBytes(StandardCharsets.UTF_8);
      try {
        ChangeRecord to = commit.reserve(2 * CounterOperations.maxChangeBytes(name));
        switch (random.nextInt(8)) {
          case 0 -> counts.delete(name, time, to);
          case 1 ->
              counts.expire(
                  name,
                  time + random.nextInt(20),
                  CounterOperations.ExpiryCondition.ALWAYS,
                  time,
                  to);
          case 2 ->
              counts.add(name, new DecimalAmount(random.nextInt(-500, 500), true), 30, time, to);
          default -> counts.add(name, new DecimalAmount(random.nextInt(9), false), 0, time, to);
        }
        states.put(commit.openGroupNumber(), state(table, Long.MIN_VALUE));
      } catch (CommandException e) {
        // Refused: nothing has changed.
      }
      table.sweepExpired(time, 3);
    }

    void begin() {
      openGroup();
      if (work == null) {
        work = commit.nextWork(time);
      } else {
        offered = commit.offerOpenGroup(time);
      }
    }

    /** As the event loop does: it withdraws what was offered, or finds it taken. */
    void openGroup() {
      if (commit.hasOffer() && offered != null) {
        commit.onOfferWithdrawn();
        offered = null;
      } else if (commit.hasOffer()) {
        commit.onOfferTaken();
      }
    }

    void perform() throws IOException {
      if (work == null) {
        return;
      }
      try {
        log.append(work.record());
        log.sync();
        GroupCommit.LogWork next = random.nextBoolean() ? offered : null;
        offered = next == null ? offered : null;
        commit.onWorkDone(work.groupNumber());
        anew.clear();
        acknowledged.add(work.groupNumber());
        work = next;
        return;
      } catch (IOException e) {
        commit.onStalled("disk");
        if (!log.isAbandoned()) {
          return; // Tried again.
        }
        if (snapshot != null) {
          snapshot.abandon();
          snapshot = null;
        }
        openGroup();
        storage.freeBytes = Long.MAX_VALUE;
        storage.failingSyncs = 0;
        anew(log.lastSequence());
      }
      acknowledged.add(work.groupNumber());
      work = null;
    }

    void snapshot() throws IOException {
      try {
        if (snapshot == null) {
          if (work == null && !log.isAbandoned()) {
            covered = log.roll();
            snapshot = new SnapshotWriter(storage, covered);
            walk = new SnapshotIterator(table);
            parts = walk.next(time).iterator();
            walkedTo = commit.openGroupNumber();
          }
        } else if (parts.hasNext()) {
          SnapshotIterator.SnapshotPart part = parts.next();
          snapshot.write(part.changes(), part.nameCount(), time);
        } else if (walkedTo >= 0 && walkedTo < acknowledged.get(acknowledged.size() - 1)) {
          SnapshotWriter ending = snapshot;
          snapshot = null;
          ending.finish(time);
          SnapshotWriter.deleteObsoleteFiles(storage, covered);
        }
      } catch (IOException e) {
        snapshot = null;
        if (log.isAbandoned()) {
          storage.freeBytes = Long.MAX_VALUE;
          storage.failingSyncs = 0;
          anew(log.lastSequence());
        }
      }
    }
  }

  private static Map<String, String> state(CounterTable table, long now) {
    Map<String, String> all = new TreeMap<>();
    for (int i = 0; i < table.shardCount(); i++) {
      table.visitShard(
          i,
          now,
          (name, amount, expiry) ->
              all.put(new String(name, StandardCharsets.UTF_8), amount + " until " + expiry));
    }
    return all;
  }

  private static Map<String, String> alive(Map<String, String> state, long now) {
    Map<String, String> left = new TreeMap<>(state);
    left.values()
        .removeIf(
            v -> !v.endsWith(" 0") && Long.parseLong(v.substring(v.lastIndexOf(' ') + 1)) <= now);
    return left;
  }

  /**
   * After any crash the names are as they were at the end of some group not before the last
   * acknowledged one.
   */
  @Property(tries = 1_000, seed = "15", edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
  void acknowledgedChanges_surviveEveryCrash(@ForAll long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedStorage storage = new SimulatedStorage(random.nextLong());
    CounterRun life = null;
    long time = 1_000;
    for (int crash = 0; crash < 5; crash++) {
      CounterRun before = life;
      storage.callsUntilCrash = -1;
      storage.freeBytes = Long.MAX_VALUE;
      storage.failingSyncs = 0;
      life = new CounterRun(storage, random, time);
      if (before != null) {
        long from = before.acknowledged.get(before.acknowledged.size() - 1);
        long now = life.time;
        Map<String, String> found = life.states.get(0L);
        List<Map<String, String>> may = new ArrayList<>();
        may.add(alive(before.states.floorEntry(from).getValue(), now));
        before.anew.forEach(s -> may.add(alive(s, now)));
        before.states.tailMap(from, false).values().forEach(s -> may.add(alive(s, now)));
        assertTrue(may.contains(found), () -> "found " + found + "\nwhich is none of " + may);
      }
      storage.callsUntilCrash = random.nextInt(300);
      try {
        for (int i = 0; i < 400; i++) {
          life.step();
        }
      } catch (SimulatedStorage.Crash e) {
        // Gone.
      }
      time = life.time - random.nextInt(50); // The wall clock may have been set back.
      storage.crash();
    }
  }

  private static SimulatedStorage written(int records) throws IOException {
    SimulatedStorage storage = new SimulatedStorage(1);
    LogWriter log = new LogWriter(storage, 0);
    for (int i = 0; i < records; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.putAmount(new byte[] {'n'}, new DecimalAmount(i + 1, false), 0);
      log.append(changes.toRecord(i));
      log.sync();
    }
    return storage;
  }

  @Example
  void tornLastRecord_isCutOffAndReported() throws IOException {
    SimulatedStorage storage = written(3);
    String name = LogFormat.FileKind.SEGMENT.fileName(1);
    storage.flipBit(name, (int) storage.open(name).size() - 1);
    CounterTable table = new CounterTable(1);
    Recovery.Result found = Recovery.recover(storage, table, b -> {});
    assertEquals(2, found.lastSequence());
    assertEquals(new DecimalAmount(2, false), table.get(new byte[] {'n'}, 0));
    assertEquals(
        List.of(name + ": cut off 44 bytes of a torn record at offset 104"), found.warnings());
    assertEquals(104, storage.open(name).size());
  }

  @Example
  void damageBeforeTheEnd_isRejected() throws IOException {
    SimulatedStorage storage = written(3);
    storage.flipBit(LogFormat.FileKind.SEGMENT.fileName(1), 16 + 44 + 30);
    IOException e =
        assertThrows(
            CorruptLogException.class,
            () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
    assertEquals(
        "segment-00000000000000000001.log: damaged record 2 before the end of the log at offset 60",
        e.getMessage());
  }

  @Example
  void missingSegment_isDamage() throws IOException {
    SimulatedStorage storage = written(2);
    LogWriter later = new LogWriter(storage, 5);
    later.close();
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
  }

  /**
   * Also when nothing else is synced, as under `none`: else a whole segment could follow one with a
   * hole.
   */
  @Example
  void segment_isDurableBeforeTheNextBegins() throws IOException {
    SimulatedStorage storage = new SimulatedStorage(1);
    LogWriter log = new LogWriter(storage, 0);
    for (int i = 0; i < 40; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.putAmount(new byte[] {(byte) i}, DecimalAmount.ZERO, 0);
      log.append(changes.toRecord(i));
    }
    log.roll();
    storage.crash();
    assertEquals(40, Recovery.recover(storage, new CounterTable(1), b -> {}).lastSequence());
  }

  @Example
  void damagedSnapshot_isLeftAsideAndTheLogRead() throws IOException {
    SimulatedStorage storage = written(3);
    CounterTable table = new CounterTable(1);
    Recovery.recover(storage, table, b -> {});
    SnapshotWriter snapshot = new SnapshotWriter(storage, 3);
    snapshot.write(new SnapshotIterator(table).next(0).get(0).changes(), 1, 0);
    snapshot.finish(0);
    storage.flipBit(LogFormat.FileKind.SNAPSHOT.fileName(3), 16 + 44 + 30); // In its end.
    CounterTable again = new CounterTable(1);
    Recovery.Result found = Recovery.recover(storage, again, b -> {});
    assertEquals(3, found.lastSequence());
    assertEquals(
        List.of("snapshot-00000000000000000003.snap: not whole, left aside"), found.warnings());
    assertEquals(new DecimalAmount(3, false), again.get(new byte[] {'n'}, 0));
  }

  @Example
  void afterAFailedSync_nothingIsAppended() throws IOException {
    SimulatedStorage storage = new SimulatedStorage(1);
    LogWriter log = new LogWriter(storage, 0);
    ChangeRecord changes = new ChangeRecord(64);
    changes.putDeleted(new byte[] {'n'});
    log.append(changes.toRecord(0));
    storage.failingSyncs = 1;
    assertThrows(IOException.class, log::sync);
    assertThrows(IOException.class, log::sync);
    assertThrows(IOException.class, () -> log.append(changes.toRecord(0)));
  }
}
