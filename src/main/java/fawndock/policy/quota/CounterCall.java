package fawndock.policy.quota;

import fawndock.policy.PendingRequest;
import java.util.List;

/**
 * A counter call in flight.
 *
 * @param counter the counter that it adds to
 * @param addedUnits all that it adds, with what was pending
 * @param requestUnits what it adds for the request that caused it
 * @param waiters requests that wait for it
 */
public record CounterCall(
    WindowCounter counter, double addedUnits, double requestUnits, List<PendingRequest> waiters) {}
