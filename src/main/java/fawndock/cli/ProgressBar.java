package fawndock.cli;

import java.io.PrintStream;

/**
 * Shows the progress of a long task on one line of a terminal; nothing within its first second, nor
 * where the output is no terminal. One thread.
 */
final class ProgressBar {
  private static final long QUIET_NANOS = 1_000_000_000;
  private static final int WIDTH = 40;
  private static final long STEP_NANOS = 200_000_000;
  private final String title;
  private final long total;
  private final String totalText;
  private final PrintStream out;
  private long shownAtNanos = System.nanoTime() + QUIET_NANOS - STEP_NANOS;
  private boolean isShown;

  /**
   * @param totalBytes when it is done
   */
  ProgressBar(String title, long totalBytes, PrintStream out) {
    this(title, totalBytes, (totalBytes >> 20) + " MiB", out);
  }

  /**
   * @param total when it is done
   * @param totalText the same with its unit
   */
  ProgressBar(String title, long total, String totalText, PrintStream out) {
    this.title = title;
    this.total = Math.max(1, total);
    this.totalText = totalText;
    this.out = out;
  }

  void update(long done) {
    long now = System.nanoTime();
    if (System.console() != null && now - shownAtNanos >= STEP_NANOS) {
      shownAtNanos = now;
      isShown = true;
      int filled = (int) Math.min(WIDTH, WIDTH * done / total);
      out.printf(
          "\r%s [%s%s] %3d%% of %s",
          title,
          "#".repeat(filled),
          " ".repeat(WIDTH - filled),
          Math.min(100, 100 * done / total),
          totalText);
      out.flush();
    }
  }

  void finish() {
    if (isShown) {
      out.printf("\r%s [%s] done%20s%n", title, "#".repeat(WIDTH), "");
    }
  }
}
