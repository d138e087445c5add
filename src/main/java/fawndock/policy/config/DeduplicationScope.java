package fawndock.policy.config;

/**
 * Defines which endpoints discard duplicates of a request that is {@link Idempotency#DEDUPLICATED}.
 */
public enum DeduplicationScope {
  /** All endpoints discard duplicates. */
  ALL,
  /** Only the endpoints in the zone of the first attempt discard duplicates. */
  ZONE,
  /** Only the endpoints in the zone and cell of the first attempt discard duplicates. */
  CELL
}
