package fawndock.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Faults by the second, played in order on the calling thread. */
public final class FaultSchedule {
  /** Something that a script does. */
  @FunctionalInterface
  public interface ScheduledAction {
    /** Does it, at once. */
    void run() throws Exception;
  }

  private record Step(double second, String description, ScheduledAction action) {}

  private final List<Step> steps = new ArrayList<>();

  /** Adds something that happens at a second of the script; it must not take long. */
  public FaultSchedule at(double second, String what, ScheduledAction how) {
    steps.add(new Step(second, what, how));
    return this;
  }

  /** Plays all steps, and returns at the second given. */
  public void runUntil(double until, PrintStream out) throws Exception {
    long start = System.nanoTime();
    steps.sort(Comparator.comparingDouble(Step::second));
    for (Step step : steps) {
      waitUntil(start, step.second);
      out.printf("%5.1f s  %s%n", step.second, step.description);
      step.action.run();
    }
    waitUntil(start, until);
  }

  private static void waitUntil(long start, double second) throws InterruptedException {
    long nanos = start + (long) (second * 1e9) - System.nanoTime();
    if (nanos > 0) {
      Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
    }
  }
}
