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
 * The pending requests by number, and how each ends: rejected, failed, answered by an attempt or
 * left by its client. One that is done stays until its last attempt has ended.
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

  /** The request of this number, or null. */
  PendingRequest find(long requestId) {
    return requests.get(requestId);
  }

  /** The request of this number if it may still be answered or sent, or null. */
  PendingRequest findUnanswered(long requestId) {
    PendingRequest request = requests.get(requestId);
    return request == null || request.isDone() || request.isStreaming() ? null : request;
  }

  /** Rejects a request, or fails it where trying again would not be harmless. */
  void rejectOrFail(PendingRequest request, long retryAfterMicros) {
    close(request);
    context.emit(
        idempotency.allowsReject(request)
            ? new RejectRequest(request.id(), RetryAfter.roundUpMicros(retryAfterMicros))
            : new FailRequest(request.id()));
    removeIfEnded(request);
  }

  /** Fails a request. */
  void fail(PendingRequest request) {
    close(request);
    context.emit(new FailRequest(request.id()));
    removeIfEnded(request);
  }

  /** Ends a request whose client has left: no answer is due. */
  void abandon(PendingRequest request) {
    close(request);
    removeIfEnded(request);
  }

  /** Leaves a request to the streamed answer that has begun. */
  void markStreaming(PendingRequest request) {
    request.markStreaming();
    queue.remove(request);
  }

  /** Ends a request that an attempt has answered. */
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
   * Forgets a request that is done and has no attempt in flight, and takes back its quota if it was
   * never forwarded.
   */
  void removeIfEnded(PendingRequest request) {
    if (request.isDone() && request.inFlightAttempts() == 0) {
      quotas.release(request);
      requests.remove(request.id());
    }
  }
}
