package fawndock.loadgen;

/**
 * The course of a flow's rate over time, as a factor on its base rate. Times are in seconds from
 * the start of the run. Implementations are immutable.
 */
public sealed interface RateShape {
  /** Returns the factor at a time, at least 0. */
  double factorAt(double seconds);

  /** A constant rate. */
  record Constant() implements RateShape {
    @Override
    public double factorAt(double seconds) {
      return 1;
    }
  }

  /**
   * A sine wave around the base rate.
   *
   * @param periodSeconds period, above 0
   * @param depth amplitude as a fraction of the base rate, 0 to 1
   */
  record SineWave(double periodSeconds, double depth) implements RateShape {
    @Override
    public double factorAt(double seconds) {
      return 1 + depth * Math.sin(2 * Math.PI * seconds / periodSeconds);
    }
  }

  /**
   * A step to another rate, and optionally back.
   *
   * @param fromSeconds start of the step
   * @param untilSeconds end of the step; infinite for none
   * @param factor factor on the base rate during the step
   */
  record TemporaryStep(double fromSeconds, double untilSeconds, double factor)
      implements RateShape {
    @Override
    public double factorAt(double seconds) {
      return seconds >= fromSeconds && seconds < untilSeconds ? factor : 1;
    }
  }

  /**
   * Bursts at the base rate, without requests between them.
   *
   * @param onSeconds duration of a burst, above 0
   * @param offSeconds pause between two bursts
   */
  record OnOff(double onSeconds, double offSeconds) implements RateShape {
    @Override
    public double factorAt(double seconds) {
      return seconds % (onSeconds + offSeconds) < onSeconds ? 1 : 0;
    }
  }
}
