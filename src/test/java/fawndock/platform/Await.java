package fawndock.platform;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/** Waits for a condition, within a limit that only a failure reaches. */
final class Await {
  private static final long LIMIT_NANOS = 20_000_000_000L;

  private Await() {}

  /** Waits for a latch where no checked exception may be thrown. */
  static void latch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void until(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + LIMIT_NANOS;
    while (!condition.call()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition not met within 20 s");
      }
      Thread.sleep(5);
    }
  }
}
