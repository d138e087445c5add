package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.config.Plan;

/**
 * The chance that a request is over quota, for those made without a counter call: learned by the
 * level of the customer's demand, by whether the request is a retry, and by the customer's last
 * requests.
 */
public final class OverQuotaRisk {
  /** First guesses: at the lowest level, for each level above it, for retries, and at the most. */
  private static final double INITIAL_RATIO = 0.1;

  private static final double INITIAL_LEVEL_RATIO = 0.13;
  private static final double INITIAL_RETRY_RATIO = 0.3;
  private static final double MAX_INITIAL_RATIO = 0.9;

  /** How many requests the first guess weighs as much as. */
  private static final double INITIAL_SAMPLES = 4;

  private static final double MIN_GAIN_RATIO = 0.05;

  /** Below 1, as a client that is rejected on a guess may come again. */
  private static final double MAX_EXPECTED_LOSS_RATIO = 0.7;

  private final EventContext context;
  private final LevelRisk[] firstRequests = new LevelRisk[DemandEstimator.LEVELS];
  private final LevelRisk[] retries = new LevelRisk[DemandEstimator.LEVELS];

  /** Starts from the first guesses. */
  public OverQuotaRisk(EventContext context) {
    this.context = context;
    for (int level = 0; level < DemandEstimator.LEVELS; level++) {
      firstRequests[level] = new LevelRisk(initialRatio(level, 0));
      retries[level] = new LevelRisk(initialRatio(level, 1));
    }
  }

  private static double initialRatio(int level, int retry) {
    return Math.min(
        MAX_INITIAL_RATIO,
        INITIAL_RATIO + INITIAL_LEVEL_RATIO * level + INITIAL_RETRY_RATIO * retry);
  }

  /** The chance, from 0 to 1, that the request of a charge is over that quota. */
  double estimate(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return quota
        .risk()
        .estimate(levelRisk(charge).ratio, quota.windowMicros(), context.nowMicros());
  }

  /** What forwarding the request loses in the mean, as a part of what one within quota earns. */
  public double expectedLoss(QuotaCharge charge) {
    return estimate(charge) * (1 + overQuotaLoss(charge.request().plan()));
  }

  /** Whether forwarding the request without a total would lose too much in the mean. */
  boolean isTooHigh(QuotaCharge charge) {
    return expectedLoss(charge) > MAX_EXPECTED_LOSS_RATIO;
  }

  /** Takes in what the counter showed of a request. */
  void record(QuotaCharge charge, boolean isOverQuota) {
    charge.quota().risk().record(isOverQuota, estimate(charge), context.nowMicros());
    levelRisk(charge).record(isOverQuota);
  }

  private LevelRisk levelRisk(QuotaCharge charge) {
    boolean isRetry = charge.request().request().isRetry();
    return (isRetry ? retries : firstRequests)[charge.demandLevel()];
  }

  private static double overQuotaLoss(Plan plan) {
    return Math.max(0, plan.overQuotaCost() - plan.overQuotaValue());
  }

  /** The risk of all customers at one level of demand. */
  private static final class LevelRisk {
    private double ratio;
    private double samples;

    LevelRisk(double initialRatio) {
      ratio = initialRatio;
    }

    void record(boolean isOverQuota) {
      double gain = Math.max(MIN_GAIN_RATIO, 1 / (INITIAL_SAMPLES + ++samples));
      ratio += gain * ((isOverQuota ? 1 : 0) - ratio);
    }
  }
}
