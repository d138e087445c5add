package fawndock.policy.config;

/**
 * Which servers drop repeats of a deduplicated request: all, those of one zone, or those of one
 * cell.
 */
public enum DeduplicationScope {
  ALL,
  ZONE,
  CELL
}
