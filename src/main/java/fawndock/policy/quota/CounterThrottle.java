package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.SplittableRandom;

/**
 * Throttles counter calls on the client side: the share of requests that call the counter grows
 * with prompt replies and shrinks with late or failed ones, so that a slow counter is not
 * overloaded. If calls often fail for reasons other than load, fewer requests are counted than the
 * counter could handle.
 */
public final class CounterThrottle {
  /** Replies within this ratio of the call timeout increase the sampling rate. */
  private static final double PROMPT_REPLY_RATIO = 0.3;

  /** Replies beyond this ratio of the call timeout decrease the sampling rate. */
  private static final double LATE_REPLY_RATIO = 0.5;

  private static final double SAMPLING_INCREASE = 0.02;
  private static final double SAMPLING_INCREASE_RATIO = 0.05;
  private static final double SAMPLING_DECREASE_FACTOR = 0.7;
  private static final double MIN_SAMPLING_RATE = 0.04;

  /** In fleets of up to this size, every request calls the counter at startup. */
  private static final double MAX_FULL_SAMPLING_INSTANCES = 8;

  /** Time without throttling before a request may make a second counter call. */
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

  /** Returns the share of requests that call the counter, from 0 to 1. */
  double samplingRate() {
    return samplingRate;
  }

  /** Returns whether only a part of the requests call the counter. */
  public boolean isThrottled() {
    return samplingRate < 1;
  }

  /**
   * Returns whether calls are throttled or were so recently. A second call per request could then
   * cause throttling again.
   */
  boolean isThrottledOrRecovering() {
    return isThrottled() || hasFailedRecently();
  }

  /** Returns whether a call has failed or was late recently. */
  boolean hasFailedRecently() {
    return context.nowMicros() - lastThrottledAtMicros < RECOVERY_MICROS;
  }

  /** Returns whether the counter is unreachable, so that requests do not wait for it. */
  boolean isCounterUnreachable() {
    return reachability.isUnreachable(context.nowMicros());
  }

  /** Returns when the counter last replied or shed a call, in microseconds; 0 if it never did. */
  long lastReplyAtMicros() {
    return reachability.lastReplyAtMicros();
  }

  /** Returns the probability that a request calls the counter, by sampling or as a probe. */
  double callProbability(double baseSamplingRate) {
    return baseSamplingRate + (1 - baseSamplingRate) * probe.probeRate();
  }

  /** Returns whether to call the counter now: at random with the given rate, or as a probe. */
  boolean shouldCall(double baseSamplingRate) {
    return random.nextDouble() < baseSamplingRate
        || probe.shouldProbe(!calls.isEmpty(), context.nowMicros());
  }

  void recordCall() {
    probe.recordCall(context.nowMicros());
  }

  /** Adjusts the sampling rate and the probe backoff to the result of a call. */
  void recordReply(CounterReply reply) {
    double latencyRatio = (double) reply.latencyMicros() / Math.max(1, timeoutMicros);
    boolean isLate = latencyRatio > LATE_REPLY_RATIO;
    // A TIMEOUT result without a long wait means a reply that cannot be parsed: the counter is
    // running.
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
