package fawndock.policy.config;

/** What a request class allows to be done again. */
public enum Idempotency {
  IDEMPOTENT,
  DEDUPLICATED,
  AT_MOST_ONCE
}
