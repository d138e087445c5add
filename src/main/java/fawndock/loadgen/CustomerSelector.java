package fawndock.loadgen;

import java.util.SplittableRandom;

/**
 * Draws the customers of a flow's requests from a Zipf distribution; exponent 0 gives equal shares.
 * Immutable.
 */
public final class CustomerSelector {
  private final double[] cumulativeWeights;

  /**
   * Computes the share of each customer.
   *
   * @param count number of customers, 1 to 1,000,000
   * @param skew exponent of the Zipf distribution, 0 for equal shares; with 1 the second customer
   *     has half the share of the first
   */
  public CustomerSelector(int count, double skew) {
    cumulativeWeights = new double[count];
    double totalWeight = 0;
    for (int i = 0; i < count; i++) {
      totalWeight += Math.pow(i + 1, -skew);
      cumulativeWeights[i] = totalWeight;
    }
  }

  /** Draws the number of a customer, from 0; lower numbers have larger shares. */
  public int draw(SplittableRandom random) {
    double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int index = java.util.Arrays.binarySearch(cumulativeWeights, target);
    return Math.min(cumulativeWeights.length - 1, index >= 0 ? index + 1 : -index - 1);
  }
}
