package fawndock.policy.event;

/** How a list of servers is to be read. */
public enum EndpointUpdateKind {
  CHANGES,
  SNAPSHOT,
  CACHED,
  FAILED
}
