package fawndock.loadgen;

import java.util.SplittableRandom;

/**
 * When the requests of one flow are meant to start, drawn ahead of time and whatever becomes of
 * them. The same seed draws the same times.
 */
public final class ArrivalProcess {
  /** Seconds in which a rate is taken for constant: finer than a person would describe a load. */
  private static final double STEP = 0.001;

  private final double rate;
  private final RateShape shape;
  private final boolean even;
  private final double end;
  private final SplittableRandom random;
  private double at;
  private double area;
  private double stepEnd;

  /**
   * Arrivals from 0 on.
   *
   * @param rate a second, above 0
   * @param even equal gaps at a constant rate; else Poisson
   * @param end in seconds, from which on there are none
   */
  public ArrivalProcess(
      double rate, RateShape shape, boolean even, double end, SplittableRandom random) {
    this.rate = rate;
    this.shape = shape;
    this.even = even;
    this.end = end;
    this.random = random;
    stepEnd = STEP;
    area = even ? 1 : gap();
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble());
  }

  /**
   * The next intended start in microseconds from the start of the run, or -1 when there is none any
   * more.
   */
  public long nextMicros() {
    while (at < end) {
      double speed = rate * shape.at(stepEnd - STEP);
      double step = stepEnd - at;
      if (speed * step >= area) {
        at += area / speed;
        area = even ? 1 : gap();
        return at < end ? (long) (at * 1e6) : -1;
      }
      area -= speed * step;
      at = stepEnd;
      stepEnd += STEP;
    }
    return -1;
  }
}
