package fawndock.loadgen;

import java.util.SplittableRandom;

/** Which customer a request of a flow is of: by Zipf's law, of which even shares are a case. */
public final class CustomerSelector {
  private final double[] upTo;

  /**
   * The shares of so many customers.
   *
   * @param count 1 to 1,000,000
   * @param skew exponent of Zipf's law, from 0 for even shares; at 1 the second has half of the
   *     first's share
   */
  public CustomerSelector(int count, double skew) {
    upTo = new double[count];
    double all = 0;
    for (int i = 0; i < count; i++) {
      all += Math.pow(i + 1, -skew);
      upTo[i] = all;
    }
  }

  /** A customer's number, from 0, the busiest first. */
  public int draw(SplittableRandom random) {
    double at = random.nextDouble() * upTo[upTo.length - 1];
    int found = java.util.Arrays.binarySearch(upTo, at);
    return Math.min(upTo.length - 1, found >= 0 ? found + 1 : -found - 1);
  }
}
