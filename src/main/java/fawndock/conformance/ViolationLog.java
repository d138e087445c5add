package fawndock.conformance;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects one line for each of the first violations. The number of lines is bounded so that the
 * output of a run with many violations stays readable. Not thread-safe.
 */
final class ViolationLog {
  private static final int MAX_LINES = 20;
  private final List<String> lines = new ArrayList<>();

  /** Adds a line unless the log is full. */
  void add(String line) {
    if (lines.size() < MAX_LINES) {
      lines.add(line);
    }
  }

  List<String> lines() {
    return List.copyOf(lines);
  }
}
