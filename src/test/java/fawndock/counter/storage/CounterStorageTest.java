package fawndock.counter.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.GroupCommit.Durability;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.BigRange;
import net.jqwik.api.constraints.Scale;

/** Tests amounts, the clock, the counter table, group commit and log verification separately. */
class CounterStorageTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Sums equal those of decimal arithmetic, and withdrawing an added amount restores the previous
   * value.
   */
  @Property(tries = 1_000, seed = "15")
  void amounts_addExactly(
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(12) BigDecimal a,
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(9) BigDecimal b)
      throws CommandException {
    DecimalAmount first = DecimalAmount.parse(bytes(a.toPlainString()));
    DecimalAmount second = DecimalAmount.parse(bytes(b.toString()));
    BigDecimal rounded = a.setScale(9, RoundingMode.HALF_EVEN);
    assertEquals(0, rounded.add(b).compareTo(new BigDecimal(first.plus(second).toString())));
    assertEquals(
        second, second.plus(first).plus(DecimalAmount.parse(bytes(a.negate().toPlainString()))));
  }

  @Example
  void amounts_outOfRangeOrMalformed_areRejected() throws CommandException {
    assertEquals(
        "9223372036854775807", DecimalAmount.parse(bytes("9223372036854775807")).toString());
    assertEquals("0.000000001", DecimalAmount.parse(bytes("1e-9")).toString());
    assertEquals(DecimalAmount.ZERO, DecimalAmount.parse(bytes("1e-999999999")));
    assertEquals(new DecimalAmount(5, false), DecimalAmount.parse(bytes("5.000")));
    for (String overflowing :
        List.of("9223372036854775808", "1e30", "9300000000.5", "1e999999999")) {
      assertEquals(
          CommandException.OVERFLOW,
          assertThrows(CommandException.class, () -> DecimalAmount.parse(bytes(overflowing)))
              .getMessage(),
          overflowing);
    }
    for (String malformed : List.of("", "-", ".", "1.2.3", "NaN", "Infinity", "0x1", "1 ")) {
      assertEquals(
          CommandException.NOT_FLOAT,
          assertThrows(CommandException.class, () -> DecimalAmount.parse(bytes(malformed)))
              .getMessage(),
          malformed);
    }
    for (String malformed : List.of("01", "+1", "1.0", "9223372036854775808")) {
      assertThrows(
          CommandException.class, () -> DecimalAmount.parseLong(bytes(malformed)), malformed);
    }
  }

  @Example
  void time_neverDecreases() {
    MonotonicWallClock time = new MonotonicWallClock(5_000, 4_000, 0);
    assertEquals(5_000, time.nowMillis(4_000, 0));
    assertEquals(
        5_010,
        time.nowMillis(3_000, 10_500_000)); // Set back: the time advances with the monotonic clock.
    assertEquals(5_011, time.nowMillis(3_000, 11_000_000));
    assertEquals(9_000, time.nowMillis(9_000, 12_000_000)); // Set forward: the new time is used.
  }

  /**
   * The table gives the same results as a map, including while names expire, move between slots and
   * are swept.
   */
  @Property(tries = 200, seed = "15")
  void table_behavesLikeAMap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CounterTable table = new CounterTable(seed, 2);
    Map<String, long[]> model = new HashMap<>();
    long nowMillis = 100;
    for (int step = 0; step < 2_000; step++) {
      String name = "n" + random.nextInt(step % 500 < 250 ? 300 : 20);
      long lookupMillis = nowMillis;
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> {
          model.remove(name);
          table.remove(bytes(name));
        }
        case 3 -> nowMillis += 1;
        case 4 -> table.sweepExpired(nowMillis, 10);
        default -> {
          long expiryMillis = random.nextBoolean() ? 0 : nowMillis + 1 + random.nextInt(50);
          model.put(name, new long[] {step, expiryMillis});
          table.put(bytes(name), new DecimalAmount(step, random.nextBoolean()), expiryMillis);
        }
      }
      long[] expected = model.get(name);
      DecimalAmount actual = table.get(bytes(name), lookupMillis);
      assertEquals(
          expected != null && (expected[1] == 0 || expected[1] > lookupMillis), actual != null);
      assertTrue(actual == null || actual.unscaledValue() == expected[0]);
    }
    long endMillis = nowMillis;
    long unexpiredCount =
        model.values().stream().filter(entry -> entry[1] == 0 || entry[1] > endMillis).count();
    table.sweepExpired(nowMillis, 10_000);
    assertEquals(unexpiredCount, table.size());
    long[] visitedCount = {0};
    table.visitShard(0, nowMillis, (visitedName, amount, visitedExpiry) -> visitedCount[0]++);
    table.visitShard(1, nowMillis, (visitedName, amount, visitedExpiry) -> visitedCount[0]++);
    assertEquals(unexpiredCount, visitedCount[0]);
  }

  @Example
  void oneSync_coversAllChangesMadeMeanwhile() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    assertThrows(CommandException.class, () -> commit.reserve(10));
    commit.onResumed();
    assertNull(commit.nextWork(0));
    commit.reserve(10).putDeleted(bytes("a"));
    assertEquals(1, commit.awaitedGroup());
    GroupCommit.LogWork first = commit.nextWork(0);
    assertTrue(first.shouldSync());
    commit.reserve(10).putDeleted(bytes("b"));
    commit.reserve(10).putDeleted(bytes("c"));
    assertEquals(2, commit.awaitedGroup());
    assertNull(commit.nextWork(0), "second group in flight");
    commit.onStalled("full");
    assertThrows(CommandException.class, () -> commit.reserve(10));
    commit.onWorkDone(1);
    assertEquals(2, commit.nextWork(0).groupNumber());
    assertNull(commit.nextWork(0));
  }

  /** An offered group accepts changes until it is taken; later changes are in the next group. */
  @Example
  void offeredGroup_canBeWithdrawnUntilItIsTaken() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    commit.onResumed();
    commit.reserve(10).putDeleted(bytes("a"));
    assertEquals(1, commit.nextWork(0).groupNumber());
    assertNull(commit.offerOpenGroup(0));
    commit.reserve(10).putDeleted(bytes("b"));
    int firstOfferSize = commit.offerOpenGroup(0).record().limit();
    assertNull(commit.offerOpenGroup(0));
    commit.onOfferWithdrawn();
    commit.reserve(10).putDeleted(bytes("c"));
    GroupCommit.LogWork offered = commit.offerOpenGroup(0);
    assertEquals(2, offered.groupNumber());
    assertTrue(offered.record().limit() > firstOfferSize);
    assertNull(commit.nextWork(0), "group returned twice");
    commit.onWorkDone(1);
    assertNull(commit.nextWork(0), "group returned twice");
    commit.onWorkDone(2); // The writer has taken the offered group without notice.
    assertTrue(commit.isIdle());
    commit.reserve(10).putDeleted(bytes("d"));
    assertEquals(3, commit.nextWork(0).groupNumber());
  }

  @Example
  void fullGroup_rejectsChanges() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    commit.onResumed();
    byte[] name = new byte[1_000];
    CommandException e =
        assertThrows(
            CommandException.class,
            () -> {
              for (int i = 0; i < 2_000; i++) {
                commit
                    .reserve(CounterOperations.maxChangeBytes(name))
                    .putAmount(name, DecimalAmount.ZERO, 0);
              }
            });
    assertTrue(e.getMessage().startsWith("BUSY"));
    assertTrue(
        commit.nextWork(0).record().limit()
            <= LogFormat.MAX_BODY_BYTES + LogFormat.RECORD_HEADER_BYTES);
  }

  @Example
  void intervalDurability_syncsAfterTheInterval() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.INTERVAL, 100);
    commit.onResumed();
    commit.reserve(10).putDeleted(bytes("a"));
    assertEquals(0, commit.awaitedGroup());
    assertTrue(commit.nextWork(1_000).shouldSync());
    commit.onWorkDone(1);
    commit.reserve(10).putDeleted(bytes("b"));
    assertFalse(commit.nextWork(1_050).shouldSync());
    commit.onWorkDone(2);
    assertNull(commit.nextWork(1_099));
    GroupCommit.LogWork syncWork = commit.nextWork(1_100);
    assertNotNull(syncWork, "the written record is never synced");
    assertTrue(syncWork.record() == null && syncWork.shouldSync());
  }

  private static SimulatedStorage newLog(int segments) throws IOException {
    SimulatedStorage storage = new SimulatedStorage(1);
    LogWriter writer = new LogWriter(storage, 0);
    for (int i = 0; i < 3 * segments; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.putAmount(bytes("n"), new DecimalAmount(i + 1, false), 0);
      writer.append(changes.toRecord(i));
      writer.sync();
      if (i % 3 == 2 && i < 3 * segments - 1) {
        writer.roll();
      }
    }
    return storage;
  }

  /**
   * Truncation keeps the records before the damage, saves the rest in separate files, and allows
   * recovery.
   */
  @Example
  void damagedLog_isTruncatedOnlyWhenConfirmed() throws IOException {
    SimulatedStorage storage = newLog(3);
    String secondSegment = LogFormat.FileKind.SEGMENT.fileName(4);
    storage.flipBit(secondSegment, 16 + 44 + 20);
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
    assertEquals(
        secondSegment + ": damaged, records 4 to 4, 148 bytes, damaged record 5 at offset 60",
        LogVerifier.verify(storage).get(1).describe());
    List<String> steps = LogVerifier.truncate(storage, false);
    assertEquals(secondSegment + ": cut from 148 to 60 bytes, after record 4", steps.get(0));
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
    assertEquals(steps, LogVerifier.truncate(storage, true));
    CounterTable table = new CounterTable(1);
    assertEquals(4, Recovery.recover(storage, table, b -> {}).lastSequence());
    assertEquals(new DecimalAmount(4, false), table.get(bytes("n"), 0));
    assertEquals(88, storage.open(secondSegment + ".cut").size());
    assertTrue(storage.list().contains(LogFormat.FileKind.SEGMENT.fileName(7) + ".cut"));
  }

  @Example
  void tornLog_isNotReportedAsDamaged() throws IOException {
    SimulatedStorage storage = newLog(1);
    storage.flipBit(LogFormat.FileKind.SEGMENT.fileName(1), 147);
    assertEquals(FileState.TORN, LogVerifier.verify(storage).get(0).state());
    assertEquals(List.of(), LogVerifier.truncate(storage, true));
  }
}
