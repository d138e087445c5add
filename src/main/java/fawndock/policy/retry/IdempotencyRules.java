package fawndock.policy.retry;

import fawndock.policy.Attempt;
import fawndock.policy.PendingRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.Endpoint;
import java.util.List;

/**
 * Decides what a request's idempotency allows after attempts that may have taken effect. Instances
 * are immutable.
 */
public final class IdempotencyRules {
  private static final int DEDUPLICATION_MARGIN_ROUND_TRIPS = 2;

  private final long deduplicationMarginMicros;

  /** Creates the rules from the round trip time to an endpoint, in microseconds. */
  public IdempotencyRules(long roundTripMicros) {
    this.deduplicationMarginMicros = DEDUPLICATION_MARGIN_ROUND_TRIPS * roundTripMicros;
  }

  /** Returns whether the request may be sent again. */
  public boolean allowsRetry(PendingRequest request, long nowMicros) {
    return switch (request.requestClass().config().idempotency()) {
      case IDEMPOTENT -> true;
      case DEDUPLICATED -> nowMicros < sendDeadlineMicros(request);
      case AT_MOST_ONCE -> !RetryPolicy.mayHaveTakenEffect(request);
    };
  }

  /**
   * Returns until when the request may be sent to an endpoint, in microseconds. A deduplicated
   * request that may have taken effect may be sent only while endpoints discard its duplicates.
   */
  public long sendDeadlineMicros(PendingRequest request) {
    RequestClass requestClass = request.requestClass().config();
    if (requestClass.idempotency() != Idempotency.DEDUPLICATED) {
      return StartAttempt.NO_SEND_DEADLINE;
    }
    for (Attempt attempt : request.attempts()) {
      if (attempt.mayHaveTakenEffect()) {
        return attempt.startedAtMicros()
            + requestClass.deduplicationWindowMicros()
            - deduplicationMarginMicros;
      }
    }
    return StartAttempt.NO_SEND_DEADLINE;
  }

  /**
   * Returns whether the request may be sent to the endpoint. A deduplicated request requires an
   * endpoint that discards duplicates of all earlier attempts that may have taken effect.
   */
  public boolean allowsEndpoint(PendingRequest request, Endpoint endpoint, long nowMicros) {
    RequestClass requestClass = request.requestClass().config();
    if (requestClass.idempotency() != Idempotency.DEDUPLICATED) {
      return true;
    }
    if (!allowsRetry(request, nowMicros)) {
      return false;
    }
    DeduplicationScope scope = requestClass.deduplicationScope();
    List<Attempt> attempts = request.attempts();
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.mayHaveTakenEffect()
          && !isSameScope(scope, attempt.endpoint().info(), endpoint)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isSameScope(DeduplicationScope scope, Endpoint first, Endpoint second) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> first.zone().equals(second.zone());
      case CELL -> first.cell() == second.cell() && first.zone().equals(second.zone());
    };
  }

  /** Returns whether the request may be rejected, which tells the client that a retry is safe. */
  public boolean allowsReject(PendingRequest request) {
    RequestClass requestClass = request.requestClass().config();
    return requestClass.idempotency() == Idempotency.IDEMPOTENT
        || !RetryPolicy.mayHaveTakenEffect(request)
        || (requestClass.idempotency() == Idempotency.DEDUPLICATED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }
}
