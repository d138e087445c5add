package fawndock.policy.config;

/**
 * The configuration of the counter service.
 *
 * @param isPresent whether there is a counter service; without one no quota is enforced
 * @param timeoutMicros maximum duration of a call, in microseconds
 * @param settlesUnits whether the units that a response settles are added to the counter
 */
public record CounterConfig(boolean isPresent, long timeoutMicros, boolean settlesUnits) {}
