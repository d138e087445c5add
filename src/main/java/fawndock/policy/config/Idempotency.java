package fawndock.policy.config;

/** Defines whether a request may be sent again after an attempt that may have taken effect. */
public enum Idempotency {
  /** The request may be sent again, as processing it repeatedly has the same effect as once. */
  IDEMPOTENT,
  /**
   * The request may be sent again within the deduplication window, to endpoints that discard
   * duplicates.
   */
  DEDUPLICATED,
  /** The request may not be sent again. */
  AT_MOST_ONCE
}
