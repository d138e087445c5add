package fawndock.policy.quota;

import fawndock.policy.PendingRequest;

/** Makes the counter calls whose replies a request waits for. */
final class RequestCounterCalls {
  private final CounterThrottle throttle;
  private final CounterCalls calls;
  private final QuotaCharging charging;

  RequestCounterCalls(CounterThrottle throttle, CounterCalls calls, QuotaCharging charging) {
    this.throttle = throttle;
    this.calls = calls;
    this.charging = charging;
  }

  /** Adds a request's charges to their counters, unless throttling skips the calls. */
  void callCounters(PendingRequest request) {
    boolean hasCeiling = request.charge(QuotaKind.CEILING) != null;
    double samplingRate = hasCeiling ? 1 : throttle.samplingRate();
    double callProbability = throttle.callProbability(samplingRate);
    if (!throttle.shouldCall(samplingRate)) {
      return;
    }
    throttle.recordCall();
    for (QuotaCharge charge : request.charges()) {
      charge.setCountedUnits(charging.unitsToAdd(charge, callProbability));
      waitFor(calls.send(charge.counter(), charge.countedUnits()), request);
      if (charge.quota().kind() == QuotaKind.CEILING) {
        readPreviousWindow(charge);
      }
    }
  }

  /** Reads the total of the previous window once after its end; all requests share that call. */
  void readPreviousWindow(QuotaCharge charge) {
    WindowCounter previousCounter = charge.quota().previousCounter();
    if (previousCounter.isReadAfterClose()) {
      return;
    }
    if (previousCounter.closingReadInFlight() == null) {
      previousCounter.setClosingReadInFlight(calls.send(previousCounter, 0));
    }
    waitFor(previousCounter.closingReadInFlight(), charge.request());
  }

  private static void waitFor(CounterCall call, PendingRequest request) {
    call.waitingRequests().add(request);
    request.onCounterCallStarted();
  }
}
