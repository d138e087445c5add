package fawndock.policy.config;

/**
 * The counter service.
 *
 * @param isPresent whether there is one; without it no quota is kept
 * @param timeoutMicros the longest time that a call may take, in microseconds
 * @param settlesUnits whether the units that an answer settles are added to the counter
 */
public record CounterConfig(boolean isPresent, long timeoutMicros, boolean settlesUnits) {}
