package fawndock.policy;

import fawndock.policy.config.RequestClass;

/**
 * A request class with the moving averages that this instance has measured for it. Not thread-safe.
 */
public final class RequestClassState {
  private static final double LATENCY_GAIN_RATIO = 0.0125;
  private static final double UNITS_GAIN_RATIO = 0.05;

  /** Initial value of the mean latency, as a ratio of the latency objective. */
  private static final double INITIAL_LATENCY_RATIO = 0.125;

  private final RequestClass config;
  private double meanLatencyMicros;
  private double meanUnits = 1;

  RequestClassState(RequestClass config) {
    this.config = config;
    this.meanLatencyMicros = config.latencyObjectiveMicros() * INITIAL_LATENCY_RATIO;
  }

  /** Returns the configuration of the class. */
  public RequestClass config() {
    return config;
  }

  /** Returns the moving average of the latency of successful attempts, in microseconds. */
  public double meanLatencyMicros() {
    return meanLatencyMicros;
  }

  /** Updates the moving average with the latency of a successful attempt. */
  public void recordLatency(long latencyMicros) {
    meanLatencyMicros += LATENCY_GAIN_RATIO * (latencyMicros - meanLatencyMicros);
  }

  /**
   * Updates the moving average of the units with those of an admitted request. Returns the weight
   * of the request, which is its units relative to the average of its class, and at least 0.1.
   */
  double recordUnits(double units) {
    meanUnits += UNITS_GAIN_RATIO * (units - meanUnits);
    return Math.max(0.1, units / meanUnits);
  }
}
