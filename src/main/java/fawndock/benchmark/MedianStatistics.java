package fawndock.benchmark;

import java.util.Arrays;

/** The middle of some figures. */
public final class MedianStatistics {
  private MedianStatistics() {}

  /** The median; of an even number the mean of the two in the middle. */
  public static double of(double[] figures) {
    double[] sorted = figures.clone();
    Arrays.sort(sorted);
    return sorted.length % 2 == 1
        ? sorted[sorted.length / 2]
        : (sorted[sorted.length / 2 - 1] + sorted[sorted.length / 2]) / 2;
  }
}
