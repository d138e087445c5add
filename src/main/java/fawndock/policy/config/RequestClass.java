package fawndock.policy.config;

/**
 * A class of requests.
 *
 * @param name the class's name
 * @param latencyObjectiveMicros time within which an answer has its full value, in microseconds
 * @param latencyObjectiveStretch how much later an answer may be and keep a part of its value, as a
 *     ratio of the objective; not used
 * @param deadlineMicros how long a client waits, in microseconds
 * @param priorityWeight value of an answer in time, 1 for the usual one
 * @param latePriorityWeight value of a late answer; not used
 * @param idempotency whether a request may be sent again
 * @param deduplicationScope which endpoints drop repeats
 * @param deduplicationWindowMicros for how long they do, in microseconds from the first attempt
 * @param isStreamed whether answers are streamed
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
