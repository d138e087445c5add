package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.event.PolicyTimer;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Holds additions to a counter, and withdrawals from it, that have no call of their own: they are
 * sent with the counter's next call or in a separate call after a delay, or at once if hardly any
 * call is expected within the delay. Sending at once prevents delayed withdrawals from keeping the
 * count too high for a customer whose requests arrive through many instances. It may cost
 * additional calls when a customer's demand has just begun.
 */
final class PendingAdds {
  private static final double FLUSH_DELAY_WINDOWS = 0.06;
  private static final double THROTTLED_FLUSH_DELAY_WINDOWS = 0.3;

  /** If fewer units than this are expected within the delay, waiting for a call is of no use. */
  private static final double MIN_EXPECTED_UNITS = 0.1;

  private final EventContext context;
  private final SplittableRandom random;
  private final CounterCalls calls;
  private final CounterThrottle throttle;

  /** The counters whose pending units have a scheduled flush, by name. */
  private final Map<String, WindowCounter> scheduledFlushes = new HashMap<>();

  PendingAdds(
      EventContext context, SplittableRandom random, CounterCalls calls, CounterThrottle throttle) {
    this.context = context;
    this.random = random;
    this.calls = calls;
    this.throttle = throttle;
  }

  /** Records units to be added to a counter; negative units are withdrawn. */
  void add(WindowCounter counter, double units) {
    counter.addPendingUnits(units);
    if (counter.pendingUnits() == 0
        || counter.isFlushScheduled()
        || counter.isExpired(context.nowMicros())) {
      return;
    }
    boolean isThrottled = throttle.isThrottledOrRecovering();
    double expectedUnits = counter.quota().demand().unitsPerWindow() * FLUSH_DELAY_WINDOWS;
    if (!isThrottled && expectedUnits < MIN_EXPECTED_UNITS) {
      calls.send(counter, 0);
      return;
    }
    counter.setFlushScheduled(true);
    scheduledFlushes.put(counter.name(), counter);
    double delayWindows =
        (isThrottled ? THROTTLED_FLUSH_DELAY_WINDOWS : FLUSH_DELAY_WINDOWS)
            * (1 + random.nextDouble());
    long delayMicros = Math.max(1, (long) (delayWindows * counter.quota().windowMicros()));
    context.emit(new ScheduleTimer(delayMicros, new PolicyTimer.FlushPendingAdds(counter.name())));
  }

  /** Forgets what is pending for the counters of a quota that is evicted. */
  void forget(SlidingWindowQuota quota) {
    forget(quota.currentCounter());
    forget(quota.previousCounter());
  }

  private void forget(WindowCounter counter) {
    if (counter.isFlushScheduled()) {
      scheduledFlushes.remove(counter.name(), counter);
    }
  }

  /**
   * Sends the units that are still pending for a counter. While calls are throttled and no call is
   * allowed now, they wait for another delay.
   */
  void flush(String counterName) {
    WindowCounter counter = scheduledFlushes.remove(counterName);
    if (counter == null) {
      return;
    }
    counter.setFlushScheduled(false);
    if (counter.pendingUnits() == 0 || counter.isExpired(context.nowMicros())) {
      return;
    }
    if (!throttle.isThrottled() || throttle.shouldCall(throttle.samplingRate())) {
      throttle.recordCall();
      calls.send(counter, 0);
    } else {
      add(counter, 0);
    }
  }
}
