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

class CounterStorageTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Sums are those of decimal arithmetic, and what is withdrawn leaves nothing. */
  @Property(tries = 1_000, seed = "15")
  void amounts_addExactly(
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(12) BigDecimal a,
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(9) BigDecimal b)
      throws CommandException {
    DecimalAmount one = DecimalAmount.parse(bytes(a.toPlainString()));
    DecimalAmount two = DecimalAmount.parse(bytes(b.toString()));
    BigDecimal rounded = a.setScale(9, RoundingMode.HALF_EVEN);
    assertEquals(0, rounded.add(b).compareTo(new BigDecimal(one.plus(two).toString())));
    assertEquals(two, two.plus(one).plus(DecimalAmount.parse(bytes(a.negate().toPlainString()))));
  }

  @Example
  void amounts_beyondTheirBounds_areRejected() throws CommandException {
    assertEquals(
        "9223372036854775807", DecimalAmount.parse(bytes("9223372036854775807")).toString());
    assertEquals("0.000000001", DecimalAmount.parse(bytes("1e-9")).toString());
    assertEquals(DecimalAmount.ZERO, DecimalAmount.parse(bytes("1e-999999999")));
    assertEquals(new DecimalAmount(5, false), DecimalAmount.parse(bytes("5.000")));
    for (String over : List.of("9223372036854775808", "1e30", "9300000000.5", "1e999999999")) {
      assertEquals(
          CommandException.OVERFLOW,
          assertThrows(CommandException.class, () -> DecimalAmount.parse(bytes(over))).getMessage(),
          over);
    }
    for (String none : List.of("", "-", ".", "1.2.3", "NaN", "Infinity", "0x1", "1 ")) {
      assertEquals(
          CommandException.NOT_FLOAT,
          assertThrows(CommandException.class, () -> DecimalAmount.parse(bytes(none))).getMessage(),
          none);
    }
    for (String none : List.of("01", "+1", "1.0", "9223372036854775808")) {
      assertThrows(CommandException.class, () -> DecimalAmount.parseLong(bytes(none)), none);
    }
  }

  @Example
  void time_neverRunsBackwards() {
    MonotonicWallClock time = new MonotonicWallClock(5_000, 4_000, 0);
    assertEquals(5_000, time.nowMillis(4_000, 0));
    assertEquals(
        5_010,
        time.nowMillis(3_000, 10_500_000)); // Set back: goes on at the pace of the other clock.
    assertEquals(5_011, time.nowMillis(3_000, 11_000_000));
    assertEquals(9_000, time.nowMillis(9_000, 12_000_000)); // Set forward: believed.
  }

  /** The table does what a plain map does, also while names expire, move and are swept. */
  @Property(tries = 200, seed = "15")
  void table_behavesAsAMap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CounterTable table = new CounterTable(seed, 2);
    Map<String, long[]> model = new HashMap<>();
    long now = 100;
    for (int i = 0; i < 2_000; i++) {
      String name = "n" + random.nextInt(i % 500 < 250 ? 300 : 20);
      long at = now;
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> {
          model.remove(name);
          table.remove(bytes(name));
        }
        case 3 -> now += 1;
        case 4 -> table.sweepExpired(now, 10);
        default -> {
          long expiry = random.nextBoolean() ? 0 : now + 1 + random.nextInt(50);
          model.put(name, new long[] {i, expiry});
          table.put(bytes(name), new DecimalAmount(i, random.nextBoolean()), expiry);
        }
      }
      long[] has = model.get(name);
      DecimalAmount found = table.get(bytes(name), at);
      assertEquals(has != null && (has[1] == 0 || has[1] > at), found != null);
      assertTrue(found == null || found.unscaledValue() == has[0]);
    }
    long end = now;
    long alive = model.values().stream().filter(v -> v[1] == 0 || v[1] > end).count();
    table.sweepExpired(now, 10_000);
    assertEquals(alive, table.size());
    long[] seen = {0};
    table.visitShard(0, now, (n, a, e) -> seen[0]++);
    table.visitShard(1, now, (n, a, e) -> seen[0]++);
    assertEquals(alive, seen[0]);
  }

  @Example
  void oneSync_servesAllChangesThatCameMeanwhile() throws CommandException {
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
    assertNull(commit.nextWork(0), "two at once");
    commit.onStalled("full");
    assertThrows(CommandException.class, () -> commit.reserve(10));
    commit.onWorkDone(1);
    assertEquals(2, commit.nextWork(0).groupNumber());
    assertNull(commit.nextWork(0));
  }

  /** What is offered gathers on until it is taken; what comes after is in the next group. */
  @Example
  void offeredGroup_isTakenOrWithdrawn() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    commit.onResumed();
    commit.reserve(10).putDeleted(bytes("a"));
    assertEquals(1, commit.nextWork(0).groupNumber());
    assertNull(commit.offerOpenGroup(0));
    commit.reserve(10).putDeleted(bytes("b"));
    int one = commit.offerOpenGroup(0).record().limit();
    assertNull(commit.offerOpenGroup(0));
    commit.onOfferWithdrawn();
    commit.reserve(10).putDeleted(bytes("c"));
    GroupCommit.LogWork offered = commit.offerOpenGroup(0);
    assertEquals(2, offered.groupNumber());
    assertTrue(offered.record().limit() > one);
    assertNull(commit.nextWork(0), "handed on twice");
    commit.onWorkDone(1);
    assertNull(commit.nextWork(0), "handed on twice");
    commit.onWorkDone(2); // Taken without a word.
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
  void intervalDurability_syncsOnceTheIntervalHasPassed() throws CommandException {
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
    GroupCommit.LogWork late = commit.nextWork(1_100);
    assertNotNull(late, "what was written stays unsynced");
    assertTrue(late.record() == null && late.shouldSync());
  }

  private static SimulatedStorage log(int segments) throws IOException {
    SimulatedStorage storage = new SimulatedStorage(1);
    LogWriter log = new LogWriter(storage, 0);
    for (int i = 0; i < 3 * segments; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.putAmount(bytes("n"), new DecimalAmount(i + 1, false), 0);
      log.append(changes.toRecord(i));
      log.sync();
      if (i % 3 == 2 && i < 3 * segments - 1) {
        log.roll();
      }
    }
    return storage;
  }

  /**
   * Truncation leaves what is before the damage, keeps the rest beside it, and a counter starts on
   * it.
   */
  @Example
  void damagedLog_isCutWhenConfirmed() throws IOException {
    SimulatedStorage storage = log(3);
    String second = LogFormat.FileKind.SEGMENT.fileName(4);
    storage.flipBit(second, 16 + 44 + 20);
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
    assertEquals(
        second + ": damaged, records 4 to 4, 148 bytes, damaged record 5 at offset 60",
        LogVerifier.verify(storage).get(1).describe());
    List<String> steps = LogVerifier.truncate(storage, false);
    assertEquals(second + ": cut from 148 to 60 bytes, after record 4", steps.get(0));
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(storage, new CounterTable(1), b -> {}));
    assertEquals(steps, LogVerifier.truncate(storage, true));
    CounterTable table = new CounterTable(1);
    assertEquals(4, Recovery.recover(storage, table, b -> {}).lastSequence());
    assertEquals(new DecimalAmount(4, false), table.get(bytes("n"), 0));
    assertEquals(88, storage.open(second + ".cut").size());
    assertTrue(storage.list().contains(LogFormat.FileKind.SEGMENT.fileName(7) + ".cut"));
  }

  @Example
  void tornLog_isNotReportedAsDamaged() throws IOException {
    SimulatedStorage storage = log(1);
    storage.flipBit(LogFormat.FileKind.SEGMENT.fileName(1), 147);
    assertEquals(FileState.TORN, LogVerifier.verify(storage).get(0).state());
    assertEquals(List.of(), LogVerifier.truncate(storage, true));
  }
}
