package fawndock.policy.event;

/**
 * A client's request: exactly one final answer is due before its deadline.
 *
 * @param requestId its number at this instance
 * @param requestClass name of its class
 * @param plan name of its customer's plan
 * @param customer its customer
 * @param deadlineAtMicros when its client gives up, in microseconds
 * @param units what it counts against the quota, 1 for the usual one
 * @param customerInstanceCount gateway instances that the customer's requests come through
 * @param customerFirstInstanceIndex the first of these instances; not used
 * @param isRetry whether the client sends it again after a rejection or failure
 */
public record RequestArrived(
    long requestId,
    String requestClass,
    String plan,
    String customer,
    long deadlineAtMicros,
    double units,
    int customerInstanceCount,
    int customerFirstInstanceIndex,
    boolean isRetry)
    implements PolicyEvent {}
