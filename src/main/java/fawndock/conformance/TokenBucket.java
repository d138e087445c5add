package fawndock.conformance;

/**
 * A token bucket that starts full. A time before the last refill counts as the time of that refill.
 * Not thread-safe.
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

  /** Refills the bucket for the time elapsed since the last refill. */
  void refillUntil(long atMicros) {
    double seconds = Math.max(0, atMicros - updatedAtMicros) / 1e6;
    availableUnits = Math.min(burstUnits, availableUnits + seconds * unitsPerSecond);
    updatedAtMicros = Math.max(updatedAtMicros, atMicros);
  }

  /** Takes the units if all of them are available; returns whether it did. */
  boolean tryTake(double units) {
    if (availableUnits < units) {
      return false;
    }
    availableUnits -= units;
    return true;
  }

  /** Takes the units unconditionally; returns the remaining balance, which may be negative. */
  double take(double units) {
    availableUnits -= units;
    return availableUnits;
  }
}
