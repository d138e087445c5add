package fawndock.policy;

import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.quota.QuotaAdmission;
import fawndock.policy.quota.RetryAfter;
import fawndock.policy.retry.IdempotencyRules;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds the pending requests by id and ends each of them: rejected, failed, answered by an attempt,
 * or abandoned by its client. A request that is done stays in the table until its last attempt has
 * completed. Not thread-safe.
 */
final class RequestTable {
  private final EventContext context;
  private final PendingRequestQueue queue;
  private final QuotaAdmission quotas;
  private final IdempotencyRules idempotency;
  private final boolean allowsCancellation;
  private final Map<Long, PendingRequest> requests = new LinkedHashMap<>();

  RequestTable(
      EventContext context,
      PendingRequestQueue queue,
      QuotaAdmission quotas,
      IdempotencyRules idempotency,
      boolean allowsCancellation) {
    this.context = context;
    this.queue = queue;
    this.quotas = quotas;
    this.idempotency = idempotency;
    this.allowsCancellation = allowsCancellation;
  }

  boolean contains(long requestId) {
    return requests.containsKey(requestId);
  }

  void add(PendingRequest request) {
    requests.put(request.id(), request);
  }

  /** Returns the request with this id, or null if there is none. */
  PendingRequest find(long requestId) {
    return requests.get(requestId);
  }

  /** Returns the request with this id if it may still be answered or sent, and null otherwise. */
  PendingRequest findUnanswered(long requestId) {
    PendingRequest request = requests.get(requestId);
    return request == null || request.isDone() || request.isStreaming() ? null : request;
  }

  /** Rejects a request, or fails it if the client cannot safely retry it. */
  void rejectOrFail(PendingRequest request, long retryAfterMicros) {
    close(request);
    context.emit(
        idempotency.allowsReject(request)
            ? new RejectRequest(request.id(), RetryAfter.roundUpMicros(retryAfterMicros))
            : new FailRequest(request.id()));
    removeIfEnded(request);
  }

  /** Sends the failure response of a request and ends it. */
  void fail(PendingRequest request) {
    close(request);
    context.emit(new FailRequest(request.id()));
    removeIfEnded(request);
  }

  /** Ends a request whose client has disconnected. No response is sent. */
  void abandon(PendingRequest request) {
    close(request);
    removeIfEnded(request);
  }

  /** Marks a request whose streamed response has started and removes it from the queue. */
  void markStreaming(PendingRequest request) {
    request.markStreaming();
    queue.remove(request);
  }

  /** Marks a request that an attempt has answered and removes it from the queue. */
  void markAnswered(PendingRequest request) {
    request.markDone();
    queue.remove(request);
  }

  private void close(PendingRequest request) {
    queue.remove(request);
    request.markQuotaDecided();
    request.markDone();
    if (!allowsCancellation) {
      return;
    }
    for (int i = 0; i < request.attempts().size(); i++) {
      if (!request.attempts().get(i).isCompleted()) {
        context.emit(new CancelAttempt(request.id(), i));
      }
    }
  }

  /**
   * Removes a request that is done and has no attempt in flight, and reverses its quota charges if
   * it was never forwarded.
   */
  void removeIfEnded(PendingRequest request) {
    if (request.isDone() && request.inFlightAttempts() == 0) {
      quotas.release(request);
      requests.remove(request.id());
    }
  }
}
