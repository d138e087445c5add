package fawndock.policy.action;

/**
 * Sends a request to an endpoint. The attempts of a request are numbered from 0 in the order in
 * which they are sent, and an {@link fawndock.policy.event.AttemptCompleted} follows for each.
 *
 * @param requestId id of the request
 * @param endpointId id of the endpoint in discovery
 * @param deadlineAtMicros when the attempt is to be abandoned, in microseconds
 */
public record StartAttempt(long requestId, String endpointId, long deadlineAtMicros)
    implements PolicyAction {}
