package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.action.AddToCounter;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/** The counter calls in flight; those to one counter end in the order in which they were sent. */
final class CounterCalls {
  /** The counter service forgets a counter after two windows. */
  private static final int TIME_TO_LIVE_WINDOWS = 2;

  private final EventContext context;
  private final Map<String, ArrayDeque<CounterCall>> inFlightByCounter = new LinkedHashMap<>();

  CounterCalls(EventContext context) {
    this.context = context;
  }

  boolean isEmpty() {
    return inFlightByCounter.isEmpty();
  }

  /** Adds to a counter, with all that is pending for it; adding 0 only reads. */
  CounterCall send(WindowCounter counter, double units) {
    return send(counter, units, false);
  }

  /** Adds again what a counter has lost. */
  void sendRestore(WindowCounter counter) {
    send(counter, 0, true);
  }

  private CounterCall send(WindowCounter counter, double units, boolean isRestore) {
    CounterCall call =
        new CounterCall(counter, units + counter.takePendingUnits(), units, isRestore);
    inFlightByCounter.computeIfAbsent(counter.name(), name -> new ArrayDeque<>(2)).add(call);
    long windowMicros = counter.quota().windowMicros();
    context.emit(
        new AddToCounter(counter.name(), call.addedUnits(), TIME_TO_LIVE_WINDOWS * windowMicros));
    return call;
  }

  /** The oldest call to a counter, which has ended, or null. */
  CounterCall complete(String counterName) {
    ArrayDeque<CounterCall> calls = inFlightByCounter.get(counterName);
    CounterCall call = calls == null ? null : calls.poll();
    if (call != null && calls.isEmpty()) {
      inFlightByCounter.remove(counterName);
    }
    return call;
  }
}
