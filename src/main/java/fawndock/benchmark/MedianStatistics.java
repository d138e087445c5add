package fawndock.benchmark;

import java.util.Arrays;

/** Computes medians. */
public final class MedianStatistics {
  private MedianStatistics() {}

  /** Returns the median; for an even number of values the mean of the two middle ones. */
  public static double of(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted.length % 2 == 1
        ? sorted[sorted.length / 2]
        : (sorted[sorted.length / 2 - 1] + sorted[sorted.length / 2]) / 2;
  }
}
