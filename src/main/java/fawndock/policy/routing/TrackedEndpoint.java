package fawndock.policy.routing;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import java.util.TreeMap;

/**
 * An endpoint with its attempts in flight and the statistics that this instance keeps of it. Not
 * thread-safe.
 */
public final class TrackedEndpoint {
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final LatencyEstimator latency = new LatencyEstimator();
  private final ReportedLoad reportedLoad = new ReportedLoad();

  /** Number of attempts in flight by the time at which they were sent. */
  private final TreeMap<Long, Integer> inFlightByStart = new TreeMap<>();

  private Endpoint info;
  private boolean isRunning;
  private double inFlight;

  /** Returns the endpoint as discovery last listed it. */
  public Endpoint info() {
    return info;
  }

  /**
   * Updates the endpoint from discovery and clears its failures and latency if it has restarted.
   */
  void update(Endpoint endpoint) {
    if (info != null && info.startedAtMicros() != endpoint.startedAtMicros()) {
      outlierDetector.reset();
      latency.reset();
    }
    info = endpoint;
    isRunning = endpoint.state() == EndpointState.RUNNING;
  }

  void markNotListed() {
    isRunning = false;
  }

  boolean isRunning() {
    return isRunning;
  }

  OutlierDetector outlierDetector() {
    return outlierDetector;
  }

  LatencyEstimator latency() {
    return latency;
  }

  ReportedLoad reportedLoad() {
    return reportedLoad;
  }

  /** Returns the weight of this instance's attempts in flight at the endpoint. */
  double inFlight() {
    return inFlight;
  }

  boolean hasInFlight() {
    return !inFlightByStart.isEmpty();
  }

  void onAttemptStarted(double weight, long nowMicros) {
    inFlight += weight;
    inFlightByStart.merge(nowMicros, 1, Integer::sum);
  }

  void onAttemptCompleted(double weight, long startedAtMicros) {
    inFlight = Math.max(0, inFlight - weight);
    inFlightByStart.computeIfPresent(
        startedAtMicros, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns how long the oldest attempt has been in flight, in microseconds; there must be one. */
  long oldestInFlightMicros(long nowMicros) {
    return nowMicros - inFlightByStart.firstKey();
  }
}
