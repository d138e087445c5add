package fawndock.loadgen;

import java.util.SplittableRandom;

/**
 * Generates the intended start times of the requests of one flow, independently of the outcome of
 * earlier requests. The same seed gives the same times. Not thread-safe.
 */
public final class ArrivalProcess {
  /** Interval in which the rate is taken as constant; load files describe no finer changes. */
  private static final double STEP_SECONDS = 0.001;

  private final double requestsPerSecond;
  private final RateShape shape;
  private final boolean isEven;
  private final double endSeconds;
  private final SplittableRandom random;
  private double nowSeconds;
  private double remainingArrivals;
  private double stepEndSeconds;

  /**
   * Creates a process whose arrivals start at time 0.
   *
   * @param requestsPerSecond base rate, above 0
   * @param isEven whether gaps at a constant rate are equal; otherwise arrivals are Poisson
   * @param endSeconds time from which there are no more arrivals
   */
  public ArrivalProcess(
      double requestsPerSecond,
      RateShape shape,
      boolean isEven,
      double endSeconds,
      SplittableRandom random) {
    this.requestsPerSecond = requestsPerSecond;
    this.shape = shape;
    this.isEven = isEven;
    this.endSeconds = endSeconds;
    this.random = random;
    stepEndSeconds = STEP_SECONDS;
    remainingArrivals = isEven ? 1 : drawExponential();
  }

  private double drawExponential() {
    return -Math.log(1 - random.nextDouble());
  }

  /**
   * Returns the next intended start in microseconds from the start of the run, or -1 when there are
   * no more arrivals.
   */
  public long nextMicros() {
    while (nowSeconds < endSeconds) {
      double currentRate = requestsPerSecond * shape.factorAt(stepEndSeconds - STEP_SECONDS);
      double remainingStepSeconds = stepEndSeconds - nowSeconds;
      if (currentRate * remainingStepSeconds >= remainingArrivals) {
        nowSeconds += remainingArrivals / currentRate;
        remainingArrivals = isEven ? 1 : drawExponential();
        return nowSeconds < endSeconds ? (long) (nowSeconds * 1e6) : -1;
      }
      remainingArrivals -= currentRate * remainingStepSeconds;
      nowSeconds = stepEndSeconds;
      stepEndSeconds += STEP_SECONDS;
    }
    return -1;
  }
}
