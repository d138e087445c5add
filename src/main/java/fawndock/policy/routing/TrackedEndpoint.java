package fawndock.policy.routing;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import java.util.TreeMap;

/** An endpoint with the attempts in flight at it and what is learned of it. */
public final class TrackedEndpoint {
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final LatencyEstimator latency = new LatencyEstimator();
  private final ReportedLoad reportedLoad = new ReportedLoad();

  /** How many attempts in flight were sent at each time. */
  private final TreeMap<Long, Integer> inFlightByStart = new TreeMap<>();

  private Endpoint info;
  private boolean isRunning;
  private double inFlight;

  /** The endpoint as discovery last listed it. */
  public Endpoint info() {
    return info;
  }

  /** Takes in what discovery says; one that has restarted begins without a history. */
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

  /** Weight of this instance's attempts in flight at it. */
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
    inFlightByStart.computeIfPresent(startedAtMicros, (at, count) -> count == 1 ? null : count - 1);
  }

  /** For how long the oldest attempt is in flight; there must be one. */
  long oldestInFlightMicros(long nowMicros) {
    return nowMicros - inFlightByStart.firstKey();
  }
}
