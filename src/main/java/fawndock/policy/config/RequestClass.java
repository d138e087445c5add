package fawndock.policy.config;

/** A class of requests: its aim, its worth and what may be repeated. */
public record RequestClass(
    String name,
    long latencyObjectiveMicros,
    double latencyObjectiveStretch,
    long deadlineMicros,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowMicros,
    boolean isStreamed) {}
