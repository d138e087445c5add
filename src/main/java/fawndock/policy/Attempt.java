package fawndock.policy;

import fawndock.policy.event.CallResult;
import fawndock.policy.routing.TrackedEndpoint;

/** One attempt of a request at an endpoint. */
public final class Attempt {
  private final TrackedEndpoint endpoint;
  private final long startedAtMicros;
  private final double inFlightAtStart;
  private CallResult result;
  private boolean isCapacityReleased;

  /**
   * An attempt that starts now.
   *
   * @param inFlightAtStart weight of all attempts in flight of this instance, with this one
   */
  public Attempt(TrackedEndpoint endpoint, long startedAtMicros, double inFlightAtStart) {
    this.endpoint = endpoint;
    this.startedAtMicros = startedAtMicros;
    this.inFlightAtStart = inFlightAtStart;
  }

  /** Where the attempt was sent. */
  public TrackedEndpoint endpoint() {
    return endpoint;
  }

  /** When it was sent, in microseconds. */
  public long startedAtMicros() {
    return startedAtMicros;
  }

  /** Weight of all attempts in flight when it was sent, with this one. */
  public double inFlightAtStart() {
    return inFlightAtStart;
  }

  /** Whether its end is known. */
  public boolean isCompleted() {
    return result != null;
  }

  /** Notes its end. */
  public void complete(CallResult attemptResult) {
    result = attemptResult;
  }

  /** Whether it no longer counts as in flight: it has ended, or is late or lost. */
  public boolean isCapacityReleased() {
    return isCapacityReleased;
  }

  /** It no longer counts as in flight. */
  public void markCapacityReleased() {
    isCapacityReleased = true;
  }

  /** Whether the endpoint may have done the work, or may yet do it. */
  public boolean mayHaveTakenEffect() {
    return result == null || result.mayHaveTakenEffect;
  }
}
