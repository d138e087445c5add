package fawndock.counter.replication;

/** Outcome of a call of {@link ReplicaClient}. */
public enum CallOutcome {
  /** A node answered with the total. */
  OK,
  /** No answer within the call timeout; the amount may have been added. */
  TIMEOUT,
  /** No healthy node to send to; the amount is withdrawn. */
  UNREACHABLE,
  /** Each reachable node rejected the call; the amount is withdrawn. */
  REJECTED
}
