package fawndock.policy.action;

/** Adds to a named count; a new name is forgotten after {@code timeToLiveMicros}. */
public record AddToCounter(String counterName, double amount, long timeToLiveMicros)
    implements PolicyAction {}
