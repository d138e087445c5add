package fawndock.conformance;

/**
 * A token bucket that starts full. Not thread-safe; times must not run backwards, earlier ones
 * count as the present.
 */
final class TokenBucket {
  private final double burstUnits;
  private final double unitsPerSecond;
  private double availableUnits;
  private long updatedAtMicros;

  TokenBucket(double burstUnits, double unitsPerSecond, long startMicros) {
    this.burstUnits = burstUnits;
    this.unitsPerSecond = unitsPerSecond;
    this.availableUnits = burstUnits;
    this.updatedAtMicros = startMicros;
  }

  /** Refills up to a time. */
  void refillUntil(long atMicros) {
    double seconds = Math.max(0, atMicros - updatedAtMicros) / 1e6;
    availableUnits = Math.min(burstUnits, availableUnits + seconds * unitsPerSecond);
    updatedAtMicros = Math.max(updatedAtMicros, atMicros);
  }

  /** Takes the units if all of them are there. */
  boolean tryTake(double units) {
    if (availableUnits < units) {
      return false;
    }
    availableUnits -= units;
    return true;
  }

  /** Takes the units whether they are there or not; returns what is left, which may be negative. */
  double take(double units) {
    availableUnits -= units;
    return availableUnits;
  }
}
