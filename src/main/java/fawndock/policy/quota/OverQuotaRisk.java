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

  private static final double INITIAL_RATIO_PER_LEVEL = 0.13;
  private static final double INITIAL_RATIO_FOR_RETRY = 0.3;
  private static final double MAX_INITIAL_RATIO = 0.9;

  /** How many requests the first guess weighs as much as. */
  private static final double INITIAL_WEIGHT_SAMPLES = 4;

  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  /** Below 1, as a client that is rejected on a guess may come again. */
  private static final double MAX_EXPECTED_LOSS_RATIO = 0.7;

  private final EventContext context;
  private final LevelRisk[] firstRequestRisks = new LevelRisk[DemandEstimator.LEVEL_COUNT];
  private final LevelRisk[] retryRisks = new LevelRisk[DemandEstimator.LEVEL_COUNT];

  /** Starts from the first guesses. */
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

  /** The chance, from 0 to 1, that the request of a charge is over that quota. */
  double estimate(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return quota
        .customerRisk()
        .estimate(levelRisk(charge).overQuotaRatio, quota.windowMicros(), context.nowMicros());
  }

  /** What forwarding the request loses in the mean, as a part of what one within quota earns. */
  public double expectedLossRatio(QuotaCharge charge) {
    return estimate(charge) * (1 + overQuotaLoss(charge.request().plan()));
  }

  /** Whether forwarding the request without a total would lose too much in the mean. */
  boolean isTooHigh(QuotaCharge charge) {
    return expectedLossRatio(charge) > MAX_EXPECTED_LOSS_RATIO;
  }

  /** Takes in what the counter showed of a request. */
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

  /** The risk of all customers at one level of demand. */
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
