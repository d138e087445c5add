package fawndock.policy.action;

/** Sends a request to a server; attempts of a request are numbered from 0 in the order sent. */
public record StartAttempt(long requestId, String endpointId, long deadlineAtMicros)
    implements PolicyAction {}
