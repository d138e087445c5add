package fawndock.policy.config;

/** Whether there is a counter service, and how long a call to it may take. */
public record CounterConfig(boolean isPresent, long timeoutMicros, boolean settlesUnits) {}
