package fawndock.policy.config;

/** Which endpoints drop repeats of a request of {@link Idempotency#DEDUPLICATED}. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** Those of the zone of the first attempt. */
  ZONE,
  /** Those of the cell, in its zone, of the first attempt. */
  CELL
}
