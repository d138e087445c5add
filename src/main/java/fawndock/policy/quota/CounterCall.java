package fawndock.policy.quota;

import fawndock.policy.PendingRequest;
import java.util.ArrayList;
import java.util.List;

/** A counter call in flight and the requests that wait for its reply. */
public final class CounterCall {
  private final WindowCounter counter;
  private final double addedUnits;
  private final double requestUnits;
  private final boolean isRestore;
  private final List<PendingRequest> waitingRequests = new ArrayList<>(1);

  /**
   * Creates a call that is being sent.
   *
   * @param counter the counter that the call adds to
   * @param addedUnits all units that the call adds, including those that were pending
   * @param requestUnits units that the call adds for the request that caused it
   * @param isRestore whether the call only adds again what the counter has lost
   */
  CounterCall(WindowCounter counter, double addedUnits, double requestUnits, boolean isRestore) {
    this.counter = counter;
    this.addedUnits = addedUnits;
    this.requestUnits = requestUnits;
    this.isRestore = isRestore;
  }

  WindowCounter counter() {
    return counter;
  }

  double addedUnits() {
    return addedUnits;
  }

  double requestUnits() {
    return requestUnits;
  }

  boolean isRestore() {
    return isRestore;
  }

  /** Returns the requests that wait for the call, in the order in which they started to wait. */
  public List<PendingRequest> waitingRequests() {
    return waitingRequests;
  }
}
