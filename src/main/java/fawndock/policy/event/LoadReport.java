package fawndock.policy.event;

/**
 * The load that an endpoint reports about itself. A value that it does not report is NaN.
 *
 * @param utilization part of its capacity in use, from 0 for idle to 1 for fully used
 * @param queuedRequests number of requests that wait at the endpoint
 * @param inFlightRequests number of requests at the endpoint, waiting or being processed
 * @param recentMillis recent latency of a request, in milliseconds
 * @param requestsPerSecond throughput, in requests per second
 * @param errorsPerSecond failed requests per second
 */
public record LoadReport(
    double utilization,
    double queuedRequests,
    double inFlightRequests,
    double recentMillis,
    double requestsPerSecond,
    double errorsPerSecond) {
  /** No report, or a report without any value that is supported. */
  public static final LoadReport NONE = new Builder().build();

  /** Returns whether no value is reported. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** Returns the value, or 0 if it is not reported. */
  public static double orZero(double value) {
    return Double.isNaN(value) ? 0 : value;
  }

  /** Builds a report value by value. Not thread-safe. */
  public static final class Builder {
    private double utilization = Double.NaN;
    private double queuedRequests = Double.NaN;
    private double inFlightRequests = Double.NaN;
    private double recentMillis = Double.NaN;
    private double requestsPerSecond = Double.NaN;
    private double errorsPerSecond = Double.NaN;

    /** Sets {@link LoadReport#utilization}. */
    public Builder utilization(double value) {
      utilization = value;
      return this;
    }

    /** Sets {@link LoadReport#queuedRequests}. */
    public Builder queuedRequests(double value) {
      queuedRequests = value;
      return this;
    }

    /** Sets {@link LoadReport#inFlightRequests}. */
    public Builder inFlightRequests(double value) {
      inFlightRequests = value;
      return this;
    }

    /** Sets {@link LoadReport#recentMillis}. */
    public Builder recentMillis(double value) {
      recentMillis = value;
      return this;
    }

    /** Sets {@link LoadReport#requestsPerSecond}. */
    public Builder requestsPerSecond(double value) {
      requestsPerSecond = value;
      return this;
    }

    /** Sets {@link LoadReport#errorsPerSecond}. */
    public Builder errorsPerSecond(double value) {
      errorsPerSecond = value;
      return this;
    }

    /** Returns a report with the values set so far. */
    public LoadReport build() {
      return new LoadReport(
          utilization,
          queuedRequests,
          inFlightRequests,
          recentMillis,
          requestsPerSecond,
          errorsPerSecond);
    }
  }
}
