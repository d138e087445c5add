package fawndock.policy.event;

/** The state of an endpoint as discovery reports it. */
public enum EndpointState {
  /** The endpoint takes requests. */
  RUNNING,
  /** The endpoint completes the requests that it has and takes no new ones. */
  DRAINING,
  /** The endpoint no longer exists. */
  REMOVED
}
