package fawndock.policy.event;

/**
 * A counter call ended; calls to one counter end in the order in which they were sent.
 *
 * @param counterName the counter
 * @param result how the call ended
 * @param total the counter's value after the call, in units; only with {@link CallResult#OK}
 * @param latencyMicros how long it took, in microseconds
 */
public record CounterReply(String counterName, CallResult result, double total, long latencyMicros)
    implements PolicyEvent {}
