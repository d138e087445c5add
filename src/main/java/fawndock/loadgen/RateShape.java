package fawndock.loadgen;

/**
 * How a flow's rate goes over time, as a factor on its rate; times in seconds from the start of the
 * run.
 */
public sealed interface RateShape {
  /** The factor at a time, from 0. */
  double at(double seconds);

  /** The same rate all along. */
  record Constant() implements RateShape {
    @Override
    public double at(double seconds) {
      return 1;
    }
  }

  /**
   * A wave around the rate.
   *
   * @param period seconds, above 0
   * @param depth of the rate, 0 to 1
   */
  record SineWave(double period, double depth) implements RateShape {
    @Override
    public double at(double seconds) {
      return 1 + depth * Math.sin(2 * Math.PI * seconds / period);
    }
  }

  /**
   * A sudden jump, and back when there is an end.
   *
   * @param from seconds
   * @param until seconds; infinite for never
   * @param times the rate
   */
  record TemporaryStep(double from, double until, double times) implements RateShape {
    @Override
    public double at(double seconds) {
      return seconds >= from && seconds < until ? times : 1;
    }
  }

  /**
   * Bursts with nothing between them.
   *
   * @param on seconds of each burst, above 0
   * @param off seconds between two
   */
  record OnOff(double on, double off) implements RateShape {
    @Override
    public double at(double seconds) {
      return seconds % (on + off) < on ? 1 : 0;
    }
  }
}
