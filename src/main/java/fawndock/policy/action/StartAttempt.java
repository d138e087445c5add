package fawndock.policy.action;

/**
 * Sends a request to an endpoint. The attempts of a request are numbered from 0 in the order in
 * which they are sent, and an {@link fawndock.policy.event.AttemptCompleted} follows for each.
 *
 * @param requestId id of the request
 * @param endpointId id of the endpoint in discovery
 * @param deadlineAtMicros when the attempt is to be abandoned, in microseconds
 * @param sendDeadlineAtMicros until when the request may be sent, in microseconds; an attempt that
 *     still waits for a connection then is not sent
 */
public record StartAttempt(
    long requestId, String endpointId, long deadlineAtMicros, long sendDeadlineAtMicros)
    implements PolicyAction {
  /** The send deadline of an attempt that may be sent at any time before its deadline. */
  public static final long NO_SEND_DEADLINE = Long.MAX_VALUE;

  /** Creates an action without a send deadline. */
  public StartAttempt(long requestId, String endpointId, long deadlineAtMicros) {
    this(requestId, endpointId, deadlineAtMicros, NO_SEND_DEADLINE);
  }
}
