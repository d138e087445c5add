package fawndock.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Timed actions that are run in the order of their times, on the thread that calls {@link
 * #runUntil}. Not thread-safe.
 */
public final class FaultSchedule {
  /** An action of a schedule, such as injecting a fault or ending it. */
  @FunctionalInterface
  public interface ScheduledAction {
    /** Runs the action; it must return quickly, since the next one waits for it. */
    void run() throws Exception;
  }

  /** An action, its time in seconds after the start, and the description that is printed. */
  private record Step(double atSecond, String description, ScheduledAction action) {}

  private final List<Step> steps = new ArrayList<>();

  /** Adds an action that runs so many seconds after the start; the action must return quickly. */
  public FaultSchedule at(double atSecond, String description, ScheduledAction action) {
    steps.add(new Step(atSecond, description, action));
    return this;
  }

  /** Runs all actions at their times, prints each, and returns at {@code endSecond}. */
  public void runUntil(double endSecond, PrintStream out) throws Exception {
    long startNanos = System.nanoTime();
    steps.sort(Comparator.comparingDouble(Step::atSecond));
    for (Step step : steps) {
      waitUntil(startNanos, step.atSecond);
      out.printf("%5.1f s  %s%n", step.atSecond, step.description);
      step.action.run();
    }
    waitUntil(startNanos, endSecond);
  }

  private static void waitUntil(long startNanos, double atSecond) throws InterruptedException {
    long waitNanos = startNanos + (long) (atSecond * 1e9) - System.nanoTime();
    if (waitNanos > 0) {
      Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
    }
  }
}
