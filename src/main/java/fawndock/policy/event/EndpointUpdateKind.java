package fawndock.policy.event;

/** Defines how to interpret the endpoints of an update. */
public enum EndpointUpdateKind {
  /** The update lists the endpoints that have changed. */
  CHANGES,
  /** The update lists all endpoints. */
  SNAPSHOT,
  /** The update lists all endpoints that were known before the start. */
  CACHED,
  /** The update lists no endpoints, because discovery could not be reached. */
  FAILED
}
