package fawndock.cli;

import java.io.PrintStream;

/**
 * A line that shows how far something long has come; nothing for what ends within a second, nor
 * where nobody looks on.
 */
final class ProgressBar {
  private static final int WIDTH = 40;
  private static final long STEP_NANOS = 200_000_000;
  private final String what;
  private final long all;
  private final String told;
  private final PrintStream out;
  private long shownAt = System.nanoTime() + 1_000_000_000 - STEP_NANOS;
  private boolean shown;

  /**
   * @param all bytes when it is done
   */
  ProgressBar(String what, long all, PrintStream out) {
    this(what, all, (all >> 20) + " MiB", out);
  }

  /**
   * @param all how much when it is done
   * @param told the same as it is to be read
   */
  ProgressBar(String what, long all, String told, PrintStream out) {
    this.what = what;
    this.all = Math.max(1, all);
    this.told = told;
    this.out = out;
  }

  void at(long bytes) {
    long now = System.nanoTime();
    if (System.console() != null && now - shownAt >= STEP_NANOS) {
      shownAt = now;
      shown = true;
      int done = (int) Math.min(WIDTH, WIDTH * bytes / all);
      out.printf(
          "\r%s [%s%s] %3d%% of %s",
          what, "#".repeat(done), " ".repeat(WIDTH - done), Math.min(100, 100 * bytes / all), told);
      out.flush();
    }
  }

  void end() {
    if (shown) {
      out.printf("\r%s [%s] done%20s%n", what, "#".repeat(WIDTH), "");
    }
  }
}
