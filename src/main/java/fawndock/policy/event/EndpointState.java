package fawndock.policy.event;

/** What discovery says of a server. */
public enum EndpointState {
  RUNNING,
  DRAINING,
  REMOVED
}
