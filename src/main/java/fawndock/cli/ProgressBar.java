package fawndock.cli;

import java.io.PrintStream;

/**
 * Shows the progress of a long task on one line of a terminal. It prints nothing in the first
 * second and nothing when there is no terminal. Not thread-safe.
 */
final class ProgressBar {
  private static final long INITIAL_DELAY_NANOS = 1_000_000_000;
  private static final int WIDTH_CHARS = 40;
  private static final long UPDATE_INTERVAL_NANOS = 200_000_000;
  private final String title;
  private final long total;
  private final String totalText;
  private final PrintStream out;
  private long lastShownNanos = System.nanoTime() + INITIAL_DELAY_NANOS - UPDATE_INTERVAL_NANOS;
  private boolean isShown;

  /**
   * @param totalBytes number of bytes at which the task is complete
   */
  ProgressBar(String title, long totalBytes, PrintStream out) {
    this(title, totalBytes, (totalBytes >> 20) + " MiB", out);
  }

  /**
   * @param total number of units at which the task is complete
   * @param totalText the total with its unit, as printed
   */
  ProgressBar(String title, long total, String totalText, PrintStream out) {
    this.title = title;
    this.total = Math.max(1, total);
    this.totalText = totalText;
    this.out = out;
  }

  // The program runs on Java 17, where console() is null without a terminal.
  @SuppressWarnings("SystemConsoleNull")
  void update(long done) {
    long now = System.nanoTime();
    if (System.console() != null && now - lastShownNanos >= UPDATE_INTERVAL_NANOS) {
      lastShownNanos = now;
      isShown = true;
      int filledChars = (int) Math.min(WIDTH_CHARS, WIDTH_CHARS * done / total);
      out.printf(
          "\r%s [%s%s] %3d%% of %s",
          title,
          "#".repeat(filledChars),
          " ".repeat(WIDTH_CHARS - filledChars),
          Math.min(100, 100 * done / total),
          totalText);
      out.flush();
    }
  }

  void finish() {
    if (isShown) {
      out.printf("\r%s [%s] done%20s%n", title, "#".repeat(WIDTH_CHARS), "");
    }
  }
}
