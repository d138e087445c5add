package fawndock.policy.event;

/**
 * What an endpoint says of its load. A figure that it does not report is NaN.
 *
 * @param utilization part of its capacity in use, 0 for idle, 1 for fully used
 * @param queuedRequests requests that wait at it
 * @param inFlightRequests requests that it has, waiting or being worked on
 * @param recentMillis its recent time for a request, in milliseconds
 * @param requestsPerSecond its throughput
 * @param errorsPerSecond its failed requests
 */
public record LoadReport(
    double utilization,
    double queuedRequests,
    double inFlightRequests,
    double recentMillis,
    double requestsPerSecond,
    double errorsPerSecond) {
  /** No report, or one without any figure that is known here. */
  public static final LoadReport NONE = new Builder().build();

  /** Whether no figure is reported. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** A figure, or 0 where it is not reported. */
  public static double orZero(double figure) {
    return Double.isNaN(figure) ? 0 : figure;
  }

  /** A report that is put together figure by figure. */
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

    /** The report with the figures set so far. */
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
