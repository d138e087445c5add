package fawndock.policy.event;

/**
 * A counter call has completed. Calls to one counter complete in the order in which they were sent.
 *
 * @param counterName name of the counter
 * @param result result of the call
 * @param total value of the counter after the call, in units; valid only with {@link CallResult#OK}
 * @param latencyMicros duration of the call, in microseconds
 */
public record CounterReply(String counterName, CallResult result, double total, long latencyMicros)
    implements PolicyEvent {}
