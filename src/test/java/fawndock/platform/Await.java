package fawndock.platform;

import java.util.concurrent.Callable;

/** Waits for what is to come about, within a limit that only a failure reaches. */
final class Await {
  private static final long LIMIT_NANOS = 20_000_000_000L;

  private Await() {}

  static void until(Callable<Boolean> what) throws Exception {
    long end = System.nanoTime() + LIMIT_NANOS;
    while (!what.call()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("it did not come about within 20 s");
      }
      Thread.sleep(5);
    }
  }
}
