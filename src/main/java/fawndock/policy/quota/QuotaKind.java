package fawndock.policy.quota;

import fawndock.policy.config.Plan;

/**
 * The quotas that a plan may set for each customer; each has its own counters. The letters are part
 * of the names of stored counters and must not change.
 */
public enum QuotaKind {
  /** Units per second, with a burst. */
  RATE('r'),
  /** Attempts in flight at once; the letter stands for "open". */
  CONCURRENCY('o'),
  /** Units per second that are never exceeded, whether or not the counter replies. */
  CEILING('c');

  private final char counterNameLetter;

  QuotaKind(char counterNameLetter) {
    this.counterNameLetter = counterNameLetter;
  }

  /** Returns the prefix of the names of a customer's counters of this kind. */
  String counterNamePrefix(String customer) {
    return counterNameLetter + customer + ".";
  }

  /** Returns whether a plan sets a quota of this kind. */
  boolean isSetBy(Plan plan) {
    return switch (this) {
      case RATE -> plan.unitsPerSecond() > 0;
      case CONCURRENCY -> plan.maxConcurrent() > 0;
      case CEILING -> plan.ceilingUnitsPerSecond() > 0;
    };
  }
}
