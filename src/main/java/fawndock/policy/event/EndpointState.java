package fawndock.policy.event;

/** What discovery says of an endpoint. */
public enum EndpointState {
  /** Takes requests. */
  RUNNING,
  /** Finishes what it has; takes no new requests. */
  DRAINING,
  /** Gone. */
  REMOVED
}
