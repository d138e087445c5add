package fawndock.policy.config;

/** Whether a request may be sent again after an attempt that may have taken effect. */
public enum Idempotency {
  /** Yes: its effect is the same however often it runs. */
  IDEMPOTENT,
  /** Within the deduplication window, to endpoints that drop repeats. */
  DEDUPLICATED,
  /** No. */
  AT_MOST_ONCE
}
