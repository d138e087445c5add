package fawndock.policy.event;

/** How the endpoints of an update are to be read. */
public enum EndpointUpdateKind {
  /** Those that have changed. */
  CHANGES,
  /** All there are. */
  SNAPSHOT,
  /** All that were known before the start. */
  CACHED,
  /** None: discovery could not be reached. */
  FAILED
}
