package fawndock.policy.quota;

import fawndock.policy.config.Plan;

/**
 * The quotas that a plan may set for each customer; each has counters of its own. The letters are
 * in the names of stored counters and must not change.
 */
public enum QuotaKind {
  /** Units per second, with a burst. */
  RATE('r'),
  /** Attempts in flight at once; 'o' for open. */
  CONCURRENCY('o'),
  /** Units per second that are never passed, whether or not the counter answers. */
  CEILING('c');

  private final char counterNameLetter;

  QuotaKind(char counterNameLetter) {
    this.counterNameLetter = counterNameLetter;
  }

  /** What the names of a customer's counters of this kind begin with. */
  String counterNamePrefix(String customer) {
    return counterNameLetter + customer + ".";
  }

  /** Whether a plan sets a quota of this kind. */
  boolean isSetBy(Plan plan) {
    return switch (this) {
      case RATE -> plan.unitsPerSecond() > 0;
      case CONCURRENCY -> plan.maxConcurrent() > 0;
      case CEILING -> plan.ceilingUnitsPerSecond() > 0;
    };
  }
}
