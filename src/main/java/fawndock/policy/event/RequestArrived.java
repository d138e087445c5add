package fawndock.policy.event;

/** A client's try: exactly one final answer is owed before {@code deadlineAtMicros}. */
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
