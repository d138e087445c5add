package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.action.AddToCounter;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sends counter calls and keeps track of those in flight. Calls to the same counter complete in the
 * order in which they were sent.
 */
final class CounterCalls {
  /** A counter of the counter service expires after two windows. */
  private static final int TIME_TO_LIVE_WINDOWS = 2;

  private final EventContext context;
  private final Map<String, ArrayDeque<CounterCall>> inFlightByCounter = new LinkedHashMap<>();

  CounterCalls(EventContext context) {
    this.context = context;
  }

  boolean isEmpty() {
    return inFlightByCounter.isEmpty();
  }

  /**
   * Sends a call that adds the units and all pending units to a counter; 0 units only read the
   * total.
   */
  CounterCall send(WindowCounter counter, double units) {
    return send(counter, units, false);
  }

  /** Sends a call that adds again what the counter has lost. */
  void sendRestore(WindowCounter counter) {
    send(counter, 0, true);
  }

  private CounterCall send(WindowCounter counter, double units, boolean isRestore) {
    CounterCall call =
        new CounterCall(counter, units + counter.takePendingUnits(), units, isRestore);
    inFlightByCounter.computeIfAbsent(counter.name(), name -> new ArrayDeque<>(2)).add(call);
    counter.onCallSent();
    long windowMicros = counter.quota().windowMicros();
    context.emit(
        new AddToCounter(counter.name(), call.addedUnits(), TIME_TO_LIVE_WINDOWS * windowMicros));
    return call;
  }

  /**
   * Removes and returns the oldest call in flight to a counter, or returns null if there is none.
   */
  CounterCall complete(String counterName) {
    ArrayDeque<CounterCall> calls = inFlightByCounter.get(counterName);
    CounterCall call = calls == null ? null : calls.poll();
    if (call == null) {
      return null;
    }
    call.counter().onCallCompleted();
    if (calls.isEmpty()) {
      inFlightByCounter.remove(counterName);
    }
    return call;
  }
}
