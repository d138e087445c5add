package fawndock.policy.config;

/**
 * The configuration of a class of requests.
 *
 * @param name name of the class
 * @param latencyObjectiveMicros time within which a response has its full value, in microseconds
 * @param latencyObjectiveStretch how much later a response may be and keep a part of its value, as
 *     a ratio of the objective; not used
 * @param deadlineMicros how long a client waits for a response, in microseconds
 * @param priorityWeight value of a response in time; 1 is the usual value
 * @param latePriorityWeight value of a late response; not used
 * @param idempotency whether a request may be sent again
 * @param deduplicationScope which endpoints discard duplicates
 * @param deduplicationWindowMicros how long endpoints discard duplicates, in microseconds from the
 *     first attempt
 * @param isStreamed whether responses are streamed
 */
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
