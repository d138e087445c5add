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

class CoreTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Sums are those of decimal arithmetic, and what is withdrawn leaves nothing. */
  @Property(tries = 1_000, seed = "15")
  void amountsAddExactly(
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(12) BigDecimal a,
      @ForAll @BigRange(min = "-4000000000", max = "4000000000") @Scale(9) BigDecimal b)
      throws CommandException {
    DecimalAmount one = DecimalAmount.of(bytes(a.toPlainString()));
    DecimalAmount two = DecimalAmount.of(bytes(b.toString()));
    BigDecimal rounded = a.setScale(9, RoundingMode.HALF_EVEN);
    assertEquals(0, rounded.add(b).compareTo(new BigDecimal(one.plus(two).toString())));
    assertEquals(two, two.plus(one).plus(DecimalAmount.of(bytes(a.negate().toPlainString()))));
  }

  @Example
  void amountsHaveBounds() throws CommandException {
    assertEquals("9223372036854775807", DecimalAmount.of(bytes("9223372036854775807")).toString());
    assertEquals("0.000000001", DecimalAmount.of(bytes("1e-9")).toString());
    assertEquals(DecimalAmount.ZERO, DecimalAmount.of(bytes("1e-999999999")));
    assertEquals(new DecimalAmount(5, false), DecimalAmount.of(bytes("5.000")));
    for (String over : List.of("9223372036854775808", "1e30", "9300000000.5", "1e999999999")) {
      assertEquals(
          CommandException.OVERFLOW,
          assertThrows(CommandException.class, () -> DecimalAmount.of(bytes(over))).getMessage(),
          over);
    }
    for (String none : List.of("", "-", ".", "1.2.3", "NaN", "Infinity", "0x1", "1 ")) {
      assertEquals(
          CommandException.NOT_FLOAT,
          assertThrows(CommandException.class, () -> DecimalAmount.of(bytes(none))).getMessage(),
          none);
    }
    for (String none : List.of("01", "+1", "1.0", "9223372036854775808")) {
      assertThrows(CommandException.class, () -> DecimalAmount.whole(bytes(none)), none);
    }
  }

  @Example
  void timeNeverRunsBackwards() {
    MonotonicWallClock time = new MonotonicWallClock(5_000, 4_000, 0);
    assertEquals(5_000, time.now(4_000, 0));
    assertEquals(
        5_010, time.now(3_000, 10_500_000)); // Set back: goes on at the pace of the other clock.
    assertEquals(5_011, time.now(3_000, 11_000_000));
    assertEquals(9_000, time.now(9_000, 12_000_000)); // Set forward: believed.
  }

  /** The table does what a plain map does, also while names expire, move and are swept. */
  @Property(tries = 200, seed = "15")
  void theTableIsAMap(@ForAll long seed) {
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
        case 4 -> table.sweep(now, 10);
        default -> {
          long expiry = random.nextBoolean() ? 0 : now + 1 + random.nextInt(50);
          model.put(name, new long[] {i, expiry});
          table.put(bytes(name), new DecimalAmount(i, random.nextBoolean()), expiry);
        }
      }
      long[] has = model.get(name);
      DecimalAmount found = table.get(bytes(name), at);
      assertEquals(has != null && (has[1] == 0 || has[1] > at), found != null);
      assertTrue(found == null || found.digits() == has[0]);
    }
    long end = now;
    long alive = model.values().stream().filter(v -> v[1] == 0 || v[1] > end).count();
    table.sweep(now, 10_000);
    assertEquals(alive, table.size());
    long[] seen = {0};
    table.visit(0, now, (n, a, e) -> seen[0]++);
    table.visit(1, now, (n, a, e) -> seen[0]++);
    assertEquals(alive, seen[0]);
  }

  @Example
  void oneSyncServesAllThatCameMeanwhile() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    assertThrows(CommandException.class, () -> commit.room(10));
    commit.resumed();
    assertNull(commit.next(0));
    commit.room(10).deleted(bytes("a"));
    assertEquals(1, commit.awaited());
    GroupCommit.Work first = commit.next(0);
    assertTrue(first.sync());
    commit.room(10).deleted(bytes("b"));
    commit.room(10).deleted(bytes("c"));
    assertEquals(2, commit.awaited());
    assertNull(commit.next(0), "two at once");
    commit.stalled("full");
    assertThrows(CommandException.class, () -> commit.room(10));
    commit.done(1);
    assertEquals(2, commit.next(0).number());
    assertNull(commit.next(0));
  }

  /** What is offered gathers on until it is taken; what comes after is in the next group. */
  @Example
  void anOfferedGroupIsTakenOrWithdrawn() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    commit.resumed();
    commit.room(10).deleted(bytes("a"));
    assertEquals(1, commit.next(0).number());
    assertNull(commit.offer(0));
    commit.room(10).deleted(bytes("b"));
    int one = commit.offer(0).record().limit();
    assertNull(commit.offer(0));
    commit.withdrawn();
    commit.room(10).deleted(bytes("c"));
    GroupCommit.Work offered = commit.offer(0);
    assertEquals(2, offered.number());
    assertTrue(offered.record().limit() > one);
    assertNull(commit.next(0), "handed on twice");
    commit.done(1);
    assertNull(commit.next(0), "handed on twice");
    commit.done(2); // Taken without a word.
    assertTrue(commit.idle());
    commit.room(10).deleted(bytes("d"));
    assertEquals(3, commit.next(0).number());
  }

  @Example
  void aFullGroupTurnsAway() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.ALWAYS, 0);
    commit.resumed();
    byte[] name = new byte[1_000];
    CommandException e =
        assertThrows(
            CommandException.class,
            () -> {
              for (int i = 0; i < 2_000; i++) {
                commit.room(CounterOperations.bytes(name)).set(name, DecimalAmount.ZERO, 0);
              }
            });
    assertTrue(e.getMessage().startsWith("BUSY"));
    assertTrue(commit.next(0).record().limit() <= LogFormat.LONGEST_BODY + LogFormat.RECORD_HEADER);
  }

  @Example
  void byIntervalItSyncsWhenOneHasPassed() throws CommandException {
    GroupCommit commit = new GroupCommit(Durability.INTERVAL, 100);
    commit.resumed();
    commit.room(10).deleted(bytes("a"));
    assertEquals(0, commit.awaited());
    assertTrue(commit.next(1_000).sync());
    commit.done(1);
    commit.room(10).deleted(bytes("b"));
    assertFalse(commit.next(1_050).sync());
    commit.done(2);
    assertNull(commit.next(1_099));
    GroupCommit.Work late = commit.next(1_100);
    assertNotNull(late, "what was written stays unsynced");
    assertTrue(late.record() == null && late.sync());
  }

  private static SimDisk log(int segments) throws IOException {
    SimDisk disk = new SimDisk(1);
    LogWriter log = new LogWriter(disk, 0);
    for (int i = 0; i < 3 * segments; i++) {
      ChangeRecord changes = new ChangeRecord(64);
      changes.set(bytes("n"), new DecimalAmount(i + 1, false), 0);
      log.append(changes.record(i));
      log.sync();
      if (i % 3 == 2 && i < 3 * segments - 1) {
        log.roll();
      }
    }
    return disk;
  }

  /**
   * Truncation leaves what is before the damage, keeps the rest beside it, and a counter starts on
   * it.
   */
  @Example
  void aDamagedLogIsCutOnTheOperatorsWord() throws IOException {
    SimDisk disk = log(3);
    String second = LogFormat.Kind.SEGMENT.file(4);
    disk.rot(second, 16 + 44 + 20);
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(disk, new CounterTable(1), b -> {}));
    assertEquals(
        second + ": damaged, records 4 to 4, 148 bytes, damaged record 5 at offset 60",
        LogVerifier.verify(disk).get(1).line());
    List<String> steps = LogVerifier.truncate(disk, false);
    assertEquals(second + ": cut from 148 to 60 bytes, after record 4", steps.get(0));
    assertThrows(
        CorruptLogException.class, () -> Recovery.recover(disk, new CounterTable(1), b -> {}));
    assertEquals(steps, LogVerifier.truncate(disk, true));
    CounterTable table = new CounterTable(1);
    assertEquals(4, Recovery.recover(disk, table, b -> {}).sequence());
    assertEquals(new DecimalAmount(4, false), table.get(bytes("n"), 0));
    assertEquals(88, disk.open(second + ".cut").size());
    assertTrue(disk.list().contains(LogFormat.Kind.SEGMENT.file(7) + ".cut"));
  }

  @Example
  void aTornLogIsNoDamageToTheAudit() throws IOException {
    SimDisk disk = log(1);
    disk.rot(LogFormat.Kind.SEGMENT.file(1), 147);
    assertEquals(LogVerifier.State.TORN, LogVerifier.verify(disk).get(0).state());
    assertEquals(List.of(), LogVerifier.truncate(disk, true));
  }
}
