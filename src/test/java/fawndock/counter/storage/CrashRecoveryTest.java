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

/**
 * Tests operations, group commit, log, snapshots and recovery together on a storage with injected
 * faults.
 */
class CrashRecoveryTest {
  private static final int NAMES = 40;

  /**
   * One run of a counter between two crashes. Random steps drive it as the server does; any storage
   * call may crash it.
   */
  private static final class CounterRun {
    final SimulatedStorage storage;
    final SplittableRandom random;
    final CounterTable table;
    final CounterOperations operations;
    final GroupCommit groupCommit = new GroupCommit(GroupCommit.Durability.ALWAYS, 0);

    /** State of the table at the end of each group, by group number. */
    final TreeMap<Long, Map<String, String>> statesByGroup = new TreeMap<>();

    final List<Long> acknowledgedGroups = new ArrayList<>();

    /**
     * States of the table in the snapshots with which the log was restarted since; they may contain
     * changes of the open group.
     */
    final List<Map<String, String>> snapshotStates = new ArrayList<>();

    long nowMillis;
    LogWriter log;
    GroupCommit.LogWork workInFlight;
    GroupCommit.LogWork offeredWork;
    SnapshotWriter snapshot;
    SnapshotIterator iterator;
    Iterator<SnapshotIterator.SnapshotPart> remainingParts;
    long coveredSequence;
    long snapshotGroup = -1;

    CounterRun(SimulatedStorage storage, SplittableRandom random, long nowMillis)
        throws IOException {
      this.storage = storage;
      this.random = random;
      table = new CounterTable(random.nextLong(), 8);
      operations = new CounterOperations(table, Long.MAX_VALUE);
      Recovery.Result recovered = Recovery.recover(storage, table, bytes -> {});
      this.nowMillis = Math.max(nowMillis, recovered.latestTimeMillis());
      statesByGroup.put(0L, tableState(table, this.nowMillis));
      acknowledgedGroups.add(0L);
      restartLog(recovered.lastSequence());
    }

    /**
     * Writes a snapshot of the whole table, then creates a new segment: at the start and after a
     * failed sync.
     */
    void restartLog(long lastSequence) throws IOException {
      snapshotStates.add(tableState(table, Long.MIN_VALUE));
      SnapshotWriter writer = new SnapshotWriter(storage, lastSequence);
      SnapshotIterator tableIterator = new SnapshotIterator(table);
      for (List<SnapshotIterator.SnapshotPart> chunk = tableIterator.next(nowMillis);
          !chunk.isEmpty();
          chunk = tableIterator.next(nowMillis)) {
        for (SnapshotIterator.SnapshotPart part : chunk) {
          writer.write(part.changes(), part.nameCount(), nowMillis);
        }
      }
      writer.finish(nowMillis);
      log = new LogWriter(storage, lastSequence);
      SnapshotWriter.deleteObsoleteFiles(storage, lastSequence);
      groupCommit.onResumed();
    }

    void step() throws IOException {
      nowMillis += random.nextInt(3);
      switch (random.nextInt(12)) {
        case 0 -> beginWork();
        case 1, 2 -> performWork();
        case 3 -> stepSnapshot();
        case 4 -> {
          storage.failingSyncs = random.nextInt(40) == 0 ? 1 : storage.failingSyncs;
          storage.freeBytes = random.nextInt(10) > 0 ? Long.MAX_VALUE : random.nextInt(200);
        }
        default -> change();
      }
    }

    void change() {
      reclaimOpenGroup();
      byte[] name = ("n" + random.nextInt(NAMES)).getBytes(StandardCharsets.UTF_8);
      try {
        ChangeRecord changes = groupCommit.reserve(2 * CounterOperations.maxChangeBytes(name));
        switch (random.nextInt(8)) {
          case 0 -> operations.delete(name, nowMillis, changes);
          case 1 ->
              operations.expire(
                  name,
                  nowMillis + random.nextInt(20),
                  CounterOperations.ExpiryCondition.ALWAYS,
                  nowMillis,
                  changes);
          case 2 ->
              operations.add(
                  name, new DecimalAmount(random.nextInt(-500, 500), true), 30, nowMillis, changes);
          default ->
              operations.add(
                  name, new DecimalAmount(random.nextInt(9), false), 0, nowMillis, changes);
        }
        statesByGroup.put(groupCommit.openGroupNumber(), tableState(table, Long.MIN_VALUE));
      } catch (CommandException e) {
        // Rejected: nothing has changed.
      }
      table.sweepExpired(nowMillis, 3);
    }

    void beginWork() {
      reclaimOpenGroup();
      if (workInFlight == null) {
        workInFlight = groupCommit.nextWork(nowMillis);
      } else {
        offeredWork = groupCommit.offerOpenGroup(nowMillis);
      }
    }

    /** Withdraws the offered group or finds that it was taken, as the event loop does. */
    void reclaimOpenGroup() {
      if (groupCommit.hasOffer() && offeredWork != null) {
        groupCommit.onOfferWithdrawn();
        offeredWork = null;
      } else if (groupCommit.hasOffer()) {
        groupCommit.onOfferTaken();
      }
    }

    void performWork() throws IOException {
      if (workInFlight == null) {
        return;
      }
      try {
        log.append(workInFlight.record());
        log.sync();
        GroupCommit.LogWork takenOffer = random.nextBoolean() ? offeredWork : null;
        offeredWork = takenOffer == null ? offeredWork : null;
        groupCommit.onWorkDone(workInFlight.groupNumber());
        snapshotStates.clear();
        acknowledgedGroups.add(workInFlight.groupNumber());
        workInFlight = takenOffer;
        return;
      } catch (IOException e) {
        groupCommit.onStalled("disk");
        if (!log.isAbandoned()) {
          return; // The work is retried.
        }
        if (snapshot != null) {
          snapshot.abandon();
          snapshot = null;
        }
        reclaimOpenGroup();
        storage.freeBytes = Long.MAX_VALUE;
        storage.failingSyncs = 0;
        restartLog(log.lastSequence());
      }
      acknowledgedGroups.add(workInFlight.groupNumber());
      workInFlight = null;
    }

    void stepSnapshot() throws IOException {
      try {
        if (snapshot == null) {
          if (workInFlight == null && !log.isAbandoned()) {
            coveredSequence = log.roll();
            snapshot = new SnapshotWriter(storage, coveredSequence);
            iterator = new SnapshotIterator(table);
            remainingParts = iterator.next(nowMillis).iterator();
            snapshotGroup = groupCommit.openGroupNumber();
          }
        } else if (remainingParts.hasNext()) {
          SnapshotIterator.SnapshotPart part = remainingParts.next();
          snapshot.write(part.changes(), part.nameCount(), nowMillis);
        } else if (snapshotGroup >= 0
            && snapshotGroup < acknowledgedGroups.get(acknowledgedGroups.size() - 1)) {
          SnapshotWriter completeSnapshot = snapshot;
          snapshot = null;
          completeSnapshot.finish(nowMillis);
          SnapshotWriter.deleteObsoleteFiles(storage, coveredSequence);
        }
      } catch (IOException e) {
        snapshot = null;
        if (log.isAbandoned()) {
          storage.freeBytes = Long.MAX_VALUE;
          storage.failingSyncs = 0;
          restartLog(log.lastSequence());
        }
      }
    }
  }

  private static Map<String, String> tableState(CounterTable table, long nowMillis) {
    Map<String, String> entries = new TreeMap<>();
    for (int shard = 0; shard < table.shardCount(); shard++) {
      table.visitShard(
          shard,
          nowMillis,
          (name, amount, expiryMillis) ->
              entries.put(
                  new String(name, StandardCharsets.UTF_8), amount + " until " + expiryMillis));
    }
    return entries;
  }

  private static Map<String, String> unexpired(Map<String, String> state, long nowMillis) {
    Map<String, String> remaining = new TreeMap<>(state);
    remaining
        .values()
        .removeIf(
            value ->
                !value.endsWith(" 0")
                    && Long.parseLong(value.substring(value.lastIndexOf(' ') + 1)) <= nowMillis);
    return remaining;
  }

  /**
   * After any crash the table has the state at the end of the last acknowledged group or of a later
   * one.
   */
  @Property(tries = 1_000, seed = "15", edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
  void acknowledgedChanges_surviveEveryCrash(@ForAll long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedStorage storage = new SimulatedStorage(random.nextLong());
    CounterRun run = null;
    long startMillis = 1_000;
    for (int crash = 0; crash < 5; crash++) {
      CounterRun previousRun = run;
      storage.callsUntilCrash = -1;
      storage.freeBytes = Long.MAX_VALUE;
      storage.failingSyncs = 0;
      run = new CounterRun(storage, random, startMillis);
      if (previousRun != null) {
        long lastAcknowledged =
            previousRun.acknowledgedGroups.get(previousRun.acknowledgedGroups.size() - 1);
        long nowMillis = run.nowMillis;
        Map<String, String> recovered = run.statesByGroup.get(0L);
        List<Map<String, String>> permitted = new ArrayList<>();
        permitted.add(
            unexpired(
                previousRun.statesByGroup.floorEntry(lastAcknowledged).getValue(), nowMillis));
        previousRun.snapshotStates.forEach(state -> permitted.add(unexpired(state, nowMillis)));
        previousRun
            .statesByGroup
            .tailMap(lastAcknowledged, false)
            .values()
            .forEach(state -> permitted.add(unexpired(state, nowMillis)));
        assertTrue(
            permitted.contains(recovered),
            () -> "recovered " + recovered + "\nexpected one of " + permitted);
      }
      storage.callsUntilCrash = random.nextInt(300);
      try {
        for (int i = 0; i < 400; i++) {
          run.step();
        }
      } catch (SimulatedStorage.Crash e) {
        // The run ends here.
      }
      startMillis = run.nowMillis - random.nextInt(50); // The wall clock may have been set back.
      storage.crash();
    }
  }

  private static SimulatedStorage newLog(int records) throws IOException {
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
  void tornLastRecord_isTruncatedAndReported() throws IOException {
    SimulatedStorage storage = newLog(3);
    String name = LogFormat.FileKind.SEGMENT.fileName(1);
    storage.flipBit(name, (int) storage.open(name).size() - 1);
    CounterTable table = new CounterTable(1);
    Recovery.Result recovered = Recovery.recover(storage, table, b -> {});
    assertEquals(2, recovered.lastSequence());
    assertEquals(new DecimalAmount(2, false), table.get(new byte[] {'n'}, 0));
    assertEquals(
        List.of(name + ": cut off 44 bytes of a torn record at offset 104"), recovered.warnings());
    assertEquals(104, storage.open(name).size());
  }

  @Example
  void damageBeforeTheEnd_isRejected() throws IOException {
    SimulatedStorage storage = newLog(3);
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
  void missingSegment_isReportedAsCorruption() throws IOException {
    SimulatedStorage storage = newLog(2);
    LogWriter later = new LogWriter(storage, 5);
    later.close();
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
  }

  /**
   * This also holds when nothing else is synced, as with durability `none`: otherwise a valid
   * segment could follow one with missing records.
   */
  @Example
  void segment_isDurableBeforeTheNextIsCreated() throws IOException {
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
  void damagedSnapshot_isIgnoredAndTheLogReplayed() throws IOException {
    SimulatedStorage storage = newLog(3);
    CounterTable table = new CounterTable(1);
    Recovery.recover(storage, table, b -> {});
    SnapshotWriter snapshot = new SnapshotWriter(storage, 3);
    snapshot.write(new SnapshotIterator(table).next(0).get(0).changes(), 1, 0);
    snapshot.finish(0);
    storage.flipBit(LogFormat.FileKind.SNAPSHOT.fileName(3), 16 + 44 + 30); // In the end record.
    CounterTable recoveredTable = new CounterTable(1);
    Recovery.Result recovered = Recovery.recover(storage, recoveredTable, b -> {});
    assertEquals(3, recovered.lastSequence());
    assertEquals(
        List.of("snapshot-00000000000000000003.snap: not whole, left aside"), recovered.warnings());
    assertEquals(new DecimalAmount(3, false), recoveredTable.get(new byte[] {'n'}, 0));
  }

  @Example
  void failedSync_preventsFurtherAppends() throws IOException {
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
