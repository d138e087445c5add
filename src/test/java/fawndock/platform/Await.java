package fawndock.platform;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/** Waits for conditions, with a timeout that only a failing test reaches. */
final class Await {
  private static final long TIMEOUT_NANOS = 20_000_000_000L;

  private Await() {}

  /** Waits for a latch in code that must not throw checked exceptions. */
  static void latch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Polls the condition until it holds; fails after 20 s. */
  static void until(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met within 20 s");
      }
      Thread.sleep(5);
    }
  }
}
