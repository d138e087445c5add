package fawndock.policy;

import fawndock.policy.event.CallResult;
import fawndock.policy.routing.TrackedEndpoint;

/** One attempt to send a request to an endpoint. Not thread-safe. */
public final class Attempt {
  private final TrackedEndpoint endpoint;
  private final long startedAtMicros;
  private final double inFlightAtStart;
  private CallResult result;
  private boolean isCapacityReleased;

  /**
   * Creates an attempt that is in flight.
   *
   * @param inFlightAtStart weight of all attempts of this instance in flight, including this one
   */
  public Attempt(TrackedEndpoint endpoint, long startedAtMicros, double inFlightAtStart) {
    this.endpoint = endpoint;
    this.startedAtMicros = startedAtMicros;
    this.inFlightAtStart = inFlightAtStart;
  }

  /** Returns the endpoint that the attempt was sent to. */
  public TrackedEndpoint endpoint() {
    return endpoint;
  }

  /** Returns when the attempt was sent, in microseconds. */
  public long startedAtMicros() {
    return startedAtMicros;
  }

  /**
   * Returns the weight of all attempts of this instance that were in flight when this one was sent,
   * including this one.
   */
  public double inFlightAtStart() {
    return inFlightAtStart;
  }

  /** Returns whether the result of the attempt is known. */
  public boolean isCompleted() {
    return result != null;
  }

  /** Records the result of the attempt. */
  public void complete(CallResult attemptResult) {
    result = attemptResult;
  }

  /**
   * Returns whether the attempt no longer counts against the concurrency limit, because it has
   * completed, is late or is lost.
   */
  public boolean isCapacityReleased() {
    return isCapacityReleased;
  }

  /** Records that the attempt no longer counts against the concurrency limit. */
  public void markCapacityReleased() {
    isCapacityReleased = true;
  }

  /** Returns whether the endpoint may have processed the request, or may still process it. */
  public boolean mayHaveTakenEffect() {
    return result == null || result.mayHaveTakenEffect;
  }
}
