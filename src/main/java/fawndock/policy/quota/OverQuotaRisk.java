package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.config.Plan;

/**
 * Estimates the probability that a request without a counter call is over quota. The estimate is
 * learned per demand level, separately for first requests and retries, and per customer from its
 * recent requests.
 */
public final class OverQuotaRisk {
  /** Initial estimate for first requests at the lowest demand level. */
  private static final double INITIAL_RATIO = 0.1;

  /** Added to the initial estimate for each level above the lowest. */
  private static final double INITIAL_RATIO_PER_LEVEL = 0.13;

  /** Added to the initial estimate for retries. */
  private static final double INITIAL_RATIO_FOR_RETRY = 0.3;

  private static final double MAX_INITIAL_RATIO = 0.9;

  /** Weight of the initial estimate, in requests. */
  private static final double INITIAL_WEIGHT_SAMPLES = 4;

  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  /** The threshold is below 1 because a client that is rejected on an estimate may retry. */
  private static final double MAX_EXPECTED_LOSS_RATIO = 0.7;

  private final EventContext context;
  private final LevelRisk[] firstRequestRisks = new LevelRisk[DemandEstimator.LEVEL_COUNT];
  private final LevelRisk[] retryRisks = new LevelRisk[DemandEstimator.LEVEL_COUNT];

  /** Creates the estimates with their initial values. */
  public OverQuotaRisk(EventContext context) {
    this.context = context;
    for (int level = 0; level < DemandEstimator.LEVEL_COUNT; level++) {
      firstRequestRisks[level] = new LevelRisk(initialRatio(level, 0));
      retryRisks[level] = new LevelRisk(initialRatio(level, 1));
    }
  }

  private static double initialRatio(int level, int retryIndicator) {
    return Math.min(
        MAX_INITIAL_RATIO,
        INITIAL_RATIO + INITIAL_RATIO_PER_LEVEL * level + INITIAL_RATIO_FOR_RETRY * retryIndicator);
  }

  /** Returns the probability, from 0 to 1, that the request of a charge is over that quota. */
  double estimate(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return quota
        .customerRisk()
        .estimate(levelRisk(charge).overQuotaRatio, quota.windowMicros(), context.nowMicros());
  }

  /**
   * Returns the expected loss from forwarding the request, as a ratio of the value of a request
   * within quota.
   */
  public double expectedLossRatio(QuotaCharge charge) {
    return estimate(charge) * (1 + overQuotaLoss(charge.request().plan()));
  }

  /** Returns whether the expected loss from forwarding the request without a total is too high. */
  boolean isTooHigh(QuotaCharge charge) {
    return expectedLossRatio(charge) > MAX_EXPECTED_LOSS_RATIO;
  }

  /** Records whether the counter's total showed the request to be over quota. */
  void record(QuotaCharge charge, boolean isOverQuota) {
    charge.quota().customerRisk().record(isOverQuota, estimate(charge), context.nowMicros());
    levelRisk(charge).record(isOverQuota);
  }

  private LevelRisk levelRisk(QuotaCharge charge) {
    boolean isRetry = charge.request().request().isRetry();
    return (isRetry ? retryRisks : firstRequestRisks)[charge.demandLevel()];
  }

  private static double overQuotaLoss(Plan plan) {
    return Math.max(0, plan.overQuotaCost() - plan.overQuotaValue());
  }

  /** The estimate for all customers at one demand level. */
  private static final class LevelRisk {
    private double overQuotaRatio;
    private double sampleCount;

    LevelRisk(double initialRatio) {
      overQuotaRatio = initialRatio;
    }

    void record(boolean isOverQuota) {
      double smoothingFactor =
          Math.max(MIN_SMOOTHING_FACTOR, 1 / (INITIAL_WEIGHT_SAMPLES + ++sampleCount));
      overQuotaRatio += smoothingFactor * ((isOverQuota ? 1 : 0) - overQuotaRatio);
    }
  }
}
