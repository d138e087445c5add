package fawndock.counter.replication;

/** How a {@link ReplicaClient}'s call ended. */
public enum CallOutcome {
  /** A node answered with the total. */
  OK,
  /** No answer in time; the amount may have been added. */
  TIMEOUT,
  /** No node could be sent to; the amount is withdrawn. */
  UNREACHABLE,
  /** Each node that could be reached rejected it; the amount is withdrawn. */
  REJECTED
}
