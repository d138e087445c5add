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

/** Counts, group commit, log, snapshots and recovery together, on a disk that fails. */
class CrashTest {
  private static final int NAMES = 40;

  /**
   * One life of a counter, driven by chance as the host drives it; any call to the disk may be its
   * last.
   */
  private static final class Life {
    final SimDisk disk;
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
    GroupCommit.Work work;
    GroupCommit.Work offered;
    SnapshotWriter snapshot;
    SnapshotIterator walk;
    Iterator<SnapshotIterator.Part> parts;
    long covered;
    long walkedTo = -1;

    Life(SimDisk disk, SplittableRandom random, long time) throws IOException {
      this.disk = disk;
      this.random = random;
      table = new CounterTable(random.nextLong(), 8);
      counts = new CounterOperations(table, Long.MAX_VALUE);
      Recovery.Found found = Recovery.recover(disk, table, bytes -> {});
      this.time = Math.max(time, found.time());
      states.put(0L, state(table, this.time));
      acknowledged.add(0L);
      anew(found.sequence());
    }

    /**
     * A snapshot of all in a new file, then a new segment: at the start and after a sync that
     * failed.
     */
    void anew(long sequence) throws IOException {
      anew.add(state(table, Long.MIN_VALUE));
      SnapshotWriter all = new SnapshotWriter(disk, sequence);
      SnapshotIterator through = new SnapshotIterator(table);
      for (List<SnapshotIterator.Part> piece = through.next(time);
          !piece.isEmpty();
          piece = through.next(time)) {
        for (SnapshotIterator.Part part : piece) {
          all.write(part.changes(), part.names(), time);
        }
      }
      all.finish(time);
      log = new LogWriter(disk, sequence);
      SnapshotWriter.clean(disk, sequence);
      commit.resumed();
    }

    void step() throws IOException {
      time += random.nextInt(3);
      switch (random.nextInt(12)) {
        case 0 -> begin();
        case 1, 2 -> perform();
        case 3 -> snapshot();
        case 4 -> {
          disk.failingSyncs = random.nextInt(40) == 0 ? 1 : disk.failingSyncs;
          disk.room = random.nextInt(10) > 0 ? Long.MAX_VALUE : random.nextInt(200);
        }
        default -> change();
      }
    }

    void change() {
      openGroup();
      byte[] name = ("n" + random.nextInt(NAMES)).getBytes(StandardCharsets.UTF_8);
      try {
        ChangeRecord to = commit.room(2 * CounterOperations.bytes(name));
        switch (random.nextInt(8)) {
          case 0 -> counts.delete(name, time, to);
          case 1 ->
              counts.expire(
                  name, time + random.nextInt(20), CounterOperations.When.ALWAYS, time, to);
          case 2 ->
              counts.add(name, new DecimalAmount(random.nextInt(-500, 500), true), 30, time, to);
          default -> counts.add(name, new DecimalAmount(random.nextInt(9), false), 0, time, to);
        }
        states.put(commit.open(), state(table, Long.MIN_VALUE));
      } catch (CommandException e) {
        // Refused: nothing has changed.
      }
      table.sweep(time, 3);
    }

    void begin() {
      openGroup();
      if (work == null) {
        work = commit.next(time);
      } else {
        offered = commit.offer(time);
      }
    }

    /** As the event loop does: it withdraws what was offered, or finds it taken. */
    void openGroup() {
      if (commit.offered() && offered != null) {
        commit.withdrawn();
        offered = null;
      } else if (commit.offered()) {
        commit.taken();
      }
    }

    void perform() throws IOException {
      if (work == null) {
        return;
      }
      try {
        log.append(work.record());
        log.sync();
        GroupCommit.Work next = random.nextBoolean() ? offered : null;
        offered = next == null ? offered : null;
        commit.done(work.number());
        anew.clear();
        acknowledged.add(work.number());
        work = next;
        return;
      } catch (IOException e) {
        commit.stalled("disk");
        if (!log.failed()) {
          return; // Tried again.
        }
        if (snapshot != null) {
          snapshot.abandon();
          snapshot = null;
        }
        openGroup();
        disk.room = Long.MAX_VALUE;
        disk.failingSyncs = 0;
        anew(log.sequence());
      }
      acknowledged.add(work.number());
      work = null;
    }

    void snapshot() throws IOException {
      try {
        if (snapshot == null) {
          if (work == null && !log.failed()) {
            covered = log.roll();
            snapshot = new SnapshotWriter(disk, covered);
            walk = new SnapshotIterator(table);
            parts = walk.next(time).iterator();
            walkedTo = commit.open();
          }
        } else if (parts.hasNext()) {
          SnapshotIterator.Part part = parts.next();
          snapshot.write(part.changes(), part.names(), time);
        } else if (walkedTo >= 0 && walkedTo < acknowledged.get(acknowledged.size() - 1)) {
          SnapshotWriter ending = snapshot;
          snapshot = null;
          ending.finish(time);
          SnapshotWriter.clean(disk, covered);
        }
      } catch (IOException e) {
        snapshot = null;
        if (log.failed()) {
          disk.room = Long.MAX_VALUE;
          disk.failingSyncs = 0;
          anew(log.sequence());
        }
      }
    }
  }

  private static Map<String, String> state(CounterTable table, long now) {
    Map<String, String> all = new TreeMap<>();
    for (int i = 0; i < table.shards(); i++) {
      table.visit(
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
  void whatWasAcknowledgedIsFoundAgain(@ForAll long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    SimDisk disk = new SimDisk(random.nextLong());
    Life life = null;
    long time = 1_000;
    for (int crash = 0; crash < 5; crash++) {
      Life before = life;
      disk.callsLeft = -1;
      disk.room = Long.MAX_VALUE;
      disk.failingSyncs = 0;
      life = new Life(disk, random, time);
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
      disk.callsLeft = random.nextInt(300);
      try {
        for (int i = 0; i < 400; i++) {
          life.step();
        }
      } catch (SimDisk.Crash e) {
        // Gone.
      }
      time = life.time - random.nextInt(50); // The wall clock may have been set back.
      disk.crash();
    }
  }

  private static SimDisk written(int records) throws IOException {
    SimDisk disk = new SimDisk(1);
    LogWriter log = new LogWriter(disk, 0);
    for (int i = 0; i < records; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.set(new byte[] {'n'}, new DecimalAmount(i + 1, false), 0);
      log.append(changes.record(i));
      log.sync();
    }
    return disk;
  }

  @Example
  void aTornLastRecordIsCutOffAndReported() throws IOException {
    SimDisk disk = written(3);
    String name = LogFormat.Kind.SEGMENT.file(1);
    disk.rot(name, (int) disk.open(name).size() - 1);
    CounterTable table = new CounterTable(1);
    Recovery.Found found = Recovery.recover(disk, table, b -> {});
    assertEquals(2, found.sequence());
    assertEquals(new DecimalAmount(2, false), table.get(new byte[] {'n'}, 0));
    assertEquals(
        List.of(name + ": cut off 44 bytes of a torn record at offset 104"), found.reports());
    assertEquals(104, disk.open(name).size());
  }

  @Example
  void damageBeforeTheEndIsNotStartedOn() throws IOException {
    SimDisk disk = written(3);
    disk.rot(LogFormat.Kind.SEGMENT.file(1), 16 + 44 + 30);
    IOException e =
        assertThrows(
            CorruptLogException.class, () -> Recovery.recover(disk, new CounterTable(1), b -> {}));
    assertEquals(
        "segment-00000000000000000001.log: damaged record 2 before the end of the log at offset 60",
        e.getMessage());
  }

  @Example
  void aMissingSegmentIsDamage() throws IOException {
    SimDisk disk = written(2);
    LogWriter later = new LogWriter(disk, 5);
    later.close();
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(disk, new CounterTable(1), b -> {}));
  }

  /**
   * Also when nothing else is synced, as under `none`: else a whole segment could follow one with a
   * hole.
   */
  @Example
  void aSegmentIsDurableBeforeTheNextBegins() throws IOException {
    SimDisk disk = new SimDisk(1);
    LogWriter log = new LogWriter(disk, 0);
    for (int i = 0; i < 40; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.set(new byte[] {(byte) i}, DecimalAmount.ZERO, 0);
      log.append(changes.record(i));
    }
    log.roll();
    disk.crash();
    assertEquals(40, Recovery.recover(disk, new CounterTable(1), b -> {}).sequence());
  }

  @Example
  void aDamagedSnapshotIsLeftAsideAndTheLogReadInstead() throws IOException {
    SimDisk disk = written(3);
    CounterTable table = new CounterTable(1);
    Recovery.recover(disk, table, b -> {});
    SnapshotWriter snapshot = new SnapshotWriter(disk, 3);
    snapshot.write(new SnapshotIterator(table).next(0).get(0).changes(), 1, 0);
    snapshot.finish(0);
    disk.rot(LogFormat.Kind.SNAPSHOT.file(3), 16 + 44 + 30); // In its end.
    CounterTable again = new CounterTable(1);
    Recovery.Found found = Recovery.recover(disk, again, b -> {});
    assertEquals(3, found.sequence());
    assertEquals(
        List.of("snapshot-00000000000000000003.snap: not whole, left aside"), found.reports());
    assertEquals(new DecimalAmount(3, false), again.get(new byte[] {'n'}, 0));
  }

  @Example
  void nothingIsAppendedAfterAFailedSync() throws IOException {
    SimDisk disk = new SimDisk(1);
    LogWriter log = new LogWriter(disk, 0);
    ChangeRecord changes = new ChangeRecord(64);
    changes.deleted(new byte[] {'n'});
    log.append(changes.record(0));
    disk.failingSyncs = 1;
    assertThrows(IOException.class, log::sync);
    assertThrows(IOException.class, log::sync);
    assertThrows(IOException.class, () -> log.append(changes.record(0)));
  }
}
