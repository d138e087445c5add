package fawndock.policy.event;

/**
 * A client's request has arrived; it needs exactly one final response before its deadline.
 *
 * @param requestId id of the request at this instance
 * @param requestClass name of the class of the request
 * @param plan name of the customer's plan
 * @param customer name of the customer
 * @param deadlineAtMicros when the client stops waiting, in microseconds
 * @param units units that the request counts against the quota; 1 is the usual value
 * @param customerInstanceCount number of gateway instances that receive the customer's requests
 * @param customerFirstInstanceIndex index of the first of these instances; not used
 * @param isRetry whether the client sends the request again after a rejection or failure
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
