package fawndock.counter.replication;

/** What a {@link ReplicaClient} wants done; its host does it in order. */
public sealed interface ClientAction {
  /**
   * Sends this gateway's sum to a node, which answers with the total.
   *
   * @param callId that the answer belongs to; 0 only informs the node, and nothing waits for it
   */
  record SendSum(String node, long callId, ReplicatedSum sum) implements ClientAction {}

  /**
   * Shows a node that this gateway is alive, and asks whether the node is ready.
   *
   * @param stamp higher than all before
   */
  record SendHeartbeat(String node, long stamp) implements ClientAction {}

  /** Asks a node for its membership list. */
  record FetchMembership(String node) implements ClientAction {}

  /** Gives a node a newer membership list than it has; it may have lost it in a restart. */
  record PushMembership(String node, MembershipList list) implements ClientAction {}

  /**
   * A call has ended, each once.
   *
   * @param total of the name; counts only when the outcome is OK
   */
  record CallEnded(long callId, String name, CallOutcome outcome, double total)
      implements ClientAction {}
}
