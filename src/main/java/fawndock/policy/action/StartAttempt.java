package fawndock.policy.action;

/**
 * Sends a request to an endpoint; attempts of a request are numbered from 0 in the order sent. An
 * {@link fawndock.policy.event.AttemptCompleted} is due for each.
 *
 * @param requestId the request
 * @param endpointId the endpoint, by its id in discovery
 * @param deadlineAtMicros when the attempt is to be abandoned, in microseconds
 */
public record StartAttempt(long requestId, String endpointId, long deadlineAtMicros)
    implements PolicyAction {}
