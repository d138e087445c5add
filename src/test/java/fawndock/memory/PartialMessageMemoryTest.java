package fawndock.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which messages are evicted when those received in part exceed their memory. */
class PartialMessageMemoryTest {
  private static final int MAX_BYTES = 1_000;

  private final List<String> evicted = new ArrayList<>();
  private long nowMicros = 5_000_000;
  private final PartialMessageMemory memory = new PartialMessageMemory(MAX_BYTES, () -> nowMicros);

  private PartialMessageMemory.Holder holder(String name) {
    return () -> evicted.add(name);
  }

  @Test
  void withinLimit_nothingIsEvicted() {
    memory.update(holder("a"), 600, false);
    memory.update(holder("b"), 400, false);
    assertEquals(List.of(), evicted);
    assertEquals(1_000, memory.heldBytes());
  }

  @Test
  void overLimit_evictsTheLargestOfTheSameAge() {
    memory.update(holder("small"), 300, false);
    memory.update(holder("large"), 600, false);
    memory.update(holder("last"), 200, false);
    assertEquals(List.of("large"), evicted);
    assertEquals(500, memory.heldBytes());
  }

  /** Guards against usual clients that pay for those who have stopped. */
  @Test
  void overLimit_evictsAnOldMessageBeforeALargerOneThatHasJustBegun() {
    memory.update(holder("stopped"), 450, false);
    nowMicros += 100_000;
    memory.update(holder("arriving"), 600, false);
    assertEquals(List.of("stopped"), evicted);
    assertEquals(600, memory.heldBytes());
  }

  /** A connection that always holds the beginning of its next message has not stopped. */
  @Test
  void messageAfterOneThatHasEnded_hasJustBegun() {
    PartialMessageMemory.Holder busy = holder("busy");
    memory.update(busy, 500, false);
    nowMicros += 1_000_000;
    memory.update(holder("stopped"), 300, false);
    nowMicros += 500_000;
    memory.update(busy, 500, true);
    memory.update(holder("other"), 400, false);
    assertEquals(List.of("stopped"), evicted);
  }

  @Test
  void messageThatGrows_keepsItsAge() {
    PartialMessageMemory.Holder slow = holder("slow");
    memory.update(slow, 300, false);
    nowMicros += 1_000_000;
    memory.update(slow, 400, false);
    memory.update(holder("quick"), 700, false);
    assertEquals(List.of("slow"), evicted);
  }

  @Test
  void messageLongerThanTheMemory_isEvictedItself() {
    memory.update(holder("huge"), MAX_BYTES + 1, false);
    assertEquals(List.of("huge"), evicted);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void endedAndReleasedMessages_countNoMore() {
    PartialMessageMemory.Holder ended = holder("ended");
    PartialMessageMemory.Holder released = holder("released");
    memory.update(ended, 500, false);
    memory.update(released, 500, false);
    memory.update(ended, 0, true);
    memory.release(released);
    memory.release(released);
    assertEquals(0, memory.heldBytes());
    memory.update(holder("next"), MAX_BYTES, false);
    assertEquals(List.of(), evicted);
  }
}
