package fawndock.counter.replication;

/** An action that {@link ReplicaClient} requests; the caller executes actions in order. */
public sealed interface ClientAction {
  /**
   * Sends the sum of this gateway to a node, which answers with the total.
   *
   * @param callId call that the answer belongs to; 0 if no call waits for the answer
   */
  record SendSum(String node, long callId, ReplicatedSum sum) implements ClientAction {}

  /**
   * Sends a heartbeat of this gateway to a node, which answers whether it is ready.
   *
   * @param stamp strictly increasing number
   */
  record SendHeartbeat(String node, long stamp) implements ClientAction {}

  /** Requests the membership list of a node. */
  record FetchMembership(String node) implements ClientAction {}

  /**
   * Sends a membership list to a node that has an older one, for example because it lost the newer
   * one in a restart.
   */
  record PushMembership(String node, MembershipList list) implements ClientAction {}

  /**
   * Reports the end of a call, exactly once for each call.
   *
   * @param total total of the name; valid only if the outcome is OK
   */
  record CallEnded(long callId, String name, CallOutcome outcome, double total)
      implements ClientAction {}
}
