package fawndock.policy;

import fawndock.policy.config.RequestClass;

/** A request class and what this instance has learned of it. */
public final class RequestClassState {
  private static final double LATENCY_GAIN_RATIO = 0.0125;
  private static final double UNITS_GAIN_RATIO = 0.05;

  /** First guess of the mean latency, as a ratio of the latency objective. */
  private static final double INITIAL_LATENCY_RATIO = 0.125;

  private final RequestClass config;
  private double meanLatencyMicros;
  private double meanUnits = 1;

  RequestClassState(RequestClass config) {
    this.config = config;
    this.meanLatencyMicros = config.latencyObjectiveMicros() * INITIAL_LATENCY_RATIO;
  }

  /** The class as configured. */
  public RequestClass config() {
    return config;
  }

  /** Moving mean of the time that a successful attempt takes, in microseconds. */
  public double meanLatencyMicros() {
    return meanLatencyMicros;
  }

  /** Takes in the time that a successful attempt took. */
  public void recordLatency(long latencyMicros) {
    meanLatencyMicros += LATENCY_GAIN_RATIO * (latencyMicros - meanLatencyMicros);
  }

  /** Takes in an admitted request's units; returns its weight, 1 being the class's mean. */
  double recordUnits(double units) {
    meanUnits += UNITS_GAIN_RATIO * (units - meanUnits);
    return Math.max(0.1, units / meanUnits);
  }
}
