package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.SplittableRandom;

/**
 * Client-side adaptive throttling of counter calls: the share of requests that call the counter
 * grows with prompt replies and is cut by late or failed ones, so that a slow counter is not
 * jammed. Where failures are common by chance, fewer requests are counted than could be.
 */
public final class CounterThrottle {
  /** Replies within this ratio of the longest call time raise the sampling rate. */
  private static final double PROMPT_REPLY_RATIO = 0.3;

  /** Replies beyond this ratio of the longest call time cut the sampling rate. */
  private static final double LATE_REPLY_RATIO = 0.5;

  private static final double SAMPLING_INCREASE = 0.02;
  private static final double SAMPLING_INCREASE_RATIO = 0.05;
  private static final double SAMPLING_DECREASE_FACTOR = 0.7;
  private static final double MIN_SAMPLING_RATE = 0.04;

  /** Fleets up to this size begin with every request calling the counter. */
  private static final double MAX_FULL_SAMPLING_INSTANCES = 8;

  /** Time without throttling before a request may cost a second call. */
  private static final long RECOVERY_MICROS = 5_000_000;

  private final EventContext context;
  private final SplittableRandom random;
  private final CounterCalls calls;
  private final long timeoutMicros;
  private final CounterReachability reachability;
  private final CounterProbe probe;
  private double samplingRate;
  private boolean isRampingUp = true;
  private long lastThrottledAtMicros = Long.MIN_VALUE / 2;

  CounterThrottle(
      EventContext context, SplittableRandom random, CounterCalls calls, PolicyConfig config) {
    this.context = context;
    this.random = random;
    this.calls = calls;
    this.timeoutMicros = config.counter().timeoutMicros();
    this.reachability = new CounterReachability(timeoutMicros);
    this.probe = new CounterProbe(config.instanceCount(), reachability.unreachableAfterMicros());
    this.samplingRate =
        Math.min(1, MAX_FULL_SAMPLING_INSTANCES / Math.max(1, config.instanceCount()));
  }

  /** The share of requests that call the counter, from 0 to 1. */
  double samplingRate() {
    return samplingRate;
  }

  /** Whether only a part of the requests call the counter. */
  public boolean isThrottled() {
    return samplingRate < 1;
  }

  /** Whether calls are throttled, or were so shortly ago: second calls might bring that back. */
  boolean isThrottledOrRecovering() {
    return isThrottled() || context.nowMicros() - lastThrottledAtMicros < RECOVERY_MICROS;
  }

  /** Whether requests do not wait for the counter. */
  boolean isCounterUnreachable() {
    return reachability.isUnreachable(context.nowMicros());
  }

  /** When the counter last gave a sign of life, in microseconds; 0 if never. */
  long lastReplyAtMicros() {
    return reachability.lastReplyAtMicros();
  }

  /** The chance that a request calls the counter, by sampling or as a probe. */
  double callProbability(double baseSamplingRate) {
    return baseSamplingRate + (1 - baseSamplingRate) * probe.probeRate();
  }

  /** Whether to call the counter now: by chance of the rate, or as a probe. */
  boolean shouldCall(double baseSamplingRate) {
    return random.nextDouble() < baseSamplingRate
        || probe.shouldProbe(!calls.isEmpty(), context.nowMicros());
  }

  void recordCall() {
    probe.recordCall(context.nowMicros());
  }

  /** Takes in how a call ended. */
  void recordReply(CounterReply reply) {
    double latencyRatio = (double) reply.latencyMicros() / Math.max(1, timeoutMicros);
    boolean isLate = latencyRatio > LATE_REPLY_RATIO;
    // A prompt end without a total, as of a reply that cannot be read, shows a counter at work.
    boolean isUnreadable = reply.result() == CallResult.TIMEOUT && !isLate;
    boolean isOk = reply.result() == CallResult.OK;
    boolean isShed = reply.result() == CallResult.SHED;
    if (!isUnreadable && (!isOk || isLate)) {
      decrease(isShed);
    } else if (latencyRatio <= PROMPT_REPLY_RATIO) {
      increase();
    }
    if (isOk || isShed || isUnreadable) {
      reachability.recordReply(context.nowMicros());
    } else if (reachability.recordFailure()) {
      isRampingUp = true;
    }
  }

  private void decrease(boolean isShed) {
    isRampingUp = false;
    lastThrottledAtMicros = context.nowMicros();
    samplingRate = Math.max(MIN_SAMPLING_RATE, samplingRate * SAMPLING_DECREASE_FACTOR);
    probe.recordFailure(isShed);
  }

  private void increase() {
    probe.recordPromptReply(isRampingUp);
    double increment =
        isRampingUp ? samplingRate : SAMPLING_INCREASE + SAMPLING_INCREASE_RATIO * samplingRate;
    samplingRate = Math.min(1, samplingRate + increment);
  }
}
