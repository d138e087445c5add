package fawndock.policy.event;

/** A counter call ended; the total is that after the call. */
public record CounterReply(String counterName, CallResult result, double total, long latencyMicros)
    implements PolicyEvent {}
