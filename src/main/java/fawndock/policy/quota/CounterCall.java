package fawndock.policy.quota;

import fawndock.policy.PendingRequest;
import java.util.ArrayList;
import java.util.List;

/** A counter call in flight, and the requests that wait for it. */
public final class CounterCall {
  private final WindowCounter counter;
  private final double addedUnits;
  private final double requestUnits;
  private final boolean isRestore;
  private final List<PendingRequest> waitingRequests = new ArrayList<>(1);

  /**
   * A call that is being sent.
   *
   * @param counter the counter that it adds to
   * @param addedUnits all that it adds, with what was pending
   * @param requestUnits what it adds for the request that caused it
   * @param isRestore whether it only adds again what the counter has lost
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

  /** The requests that wait for it, in the order in which they began to. */
  public List<PendingRequest> waitingRequests() {
    return waitingRequests;
  }
}
