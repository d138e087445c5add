package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit of the bytes of responses that cannot be written yet. */
class ResponseMemoryTest {
  private static final int RESPONSE_BYTES = 100;

  private final ResponseMemory memory = new ResponseMemory(10L * RESPONSE_BYTES);

  /** A queue of responses of one size, some of which may be dropped. */
  private final class FakeQueue implements ResponseMemory.Queue {
    private int droppableCount;

    FakeQueue hold(int count) {
      for (int i = 0; i < count; i++) {
        memory.hold(this, RESPONSE_BYTES);
        droppableCount++;
      }
      return this;
    }

    @Override
    public long droppableBytes() {
      return (long) droppableCount * RESPONSE_BYTES;
    }

    @Override
    public void dropLast() {
      droppableCount--;
      memory.release(RESPONSE_BYTES);
    }
  }

  @Test
  void withinLimit_nothingIsDropped() {
    FakeQueue queue = new FakeQueue().hold(10);
    memory.enforceLimit();
    assertEquals(10, queue.droppableCount);
    assertFalse(memory.isExhausted());
  }

  @Test
  void overLimit_longestQueueDropsFirst() {
    FakeQueue longQueue = new FakeQueue().hold(8);
    FakeQueue shortQueue = new FakeQueue().hold(5);
    memory.enforceLimit();
    assertEquals(5, longQueue.droppableCount);
    assertEquals(5, shortQueue.droppableCount);
    assertEquals(10L * RESPONSE_BYTES, memory.heldBytes());
  }

  @Test
  void overLimitWithNothingToDrop_staysExhaustedUntilReleased() {
    FakeQueue queue = new FakeQueue().hold(11);
    queue.droppableCount = 0;
    memory.enforceLimit();
    assertTrue(memory.isExhausted());
    memory.release(RESPONSE_BYTES);
    assertFalse(memory.isExhausted());
  }

  @Test
  void removedQueue_isNotAskedToDrop() {
    FakeQueue removed = new FakeQueue().hold(6);
    memory.remove(removed);
    FakeQueue other = new FakeQueue().hold(6);
    memory.enforceLimit();
    assertEquals(6, removed.droppableCount);
    assertEquals(4, other.droppableCount);
  }

  @Test
  void queuedRequests_areAdmittedWhileTheirExpectedResponsesFit() {
    for (int i = 0; i < 1_000; i++) {
      memory.hold(new FakeQueue(), RESPONSE_BYTES);
      memory.release(RESPONSE_BYTES);
    }
    int admittedCount = 0;
    while (memory.admitsQueuedRequest()) {
      memory.onQueuedRequestStarted();
      admittedCount++;
    }
    assertEquals(10, admittedCount);
    memory.onQueuedRequestEnded();
    assertTrue(memory.admitsQueuedRequest());
  }

  @Test
  void queuedRequests_beforeAnyResponse_areAdmitted() {
    memory.onQueuedRequestStarted();
    assertTrue(memory.admitsQueuedRequest());
  }
}
