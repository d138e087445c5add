package fawndock.ratelimit;

import com.google.protobuf.Duration;
import fawndock.gateway.QuotaService;
import fawndock.gateway.QuotaService.Decision;
import fawndock.policy.config.Plan;
import fawndock.ratelimit.DescriptorMatcher.QuotaRequest;
import fawndock.ratelimit.proto.HeaderValue;
import fawndock.ratelimit.proto.RateLimitResponse;
import fawndock.ratelimit.proto.RateLimitResponse.Code;
import fawndock.ratelimit.proto.RateLimitResponse.DescriptorStatus;
import fawndock.ratelimit.proto.RateLimitResponse.RateLimit;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One call of the rate limit service. Either all of its descriptors are charged or none: when one
 * is over its limit or undecided, or the client cancels the call, the charges of the others are
 * refunded. The call gets exactly one response, or none when the client has cancelled it. Confined
 * to one Vert.x context.
 */
final class RateLimitCall {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final int SECONDS_PER_MINUTE = 60;

  /** A descriptor and its decision. */
  private static final class DescriptorState {
    /** Null for a descriptor that is not limited. */
    final QuotaRequest quotaRequest;

    long requestId;
    Decision decision;
    long retryAfterMicros;

    DescriptorState(QuotaRequest quotaRequest) {
      this.quotaRequest = quotaRequest;
    }

    boolean isRejected() {
      return decision == Decision.REJECTED;
    }

    long retryAfterSeconds() {
      return (long) Math.ceil(retryAfterMicros / MICROS_PER_SECOND);
    }
  }

  private final List<DescriptorState> descriptors = new ArrayList<>();
  private final QuotaService quotaService;
  private final Consumer<RateLimitResponse> responseListener;
  private final Map<String, Plan> plans;
  private int undecidedCount;
  private boolean isEnded;

  /**
   * Creates a call; {@link #start} starts it.
   *
   * @param quotaRequests one for each descriptor; null for a descriptor that is not limited
   * @param responseListener called exactly once unless the call is cancelled; receives null when
   *     there was no decision in time
   */
  RateLimitCall(
      Map<String, Plan> plans,
      List<QuotaRequest> quotaRequests,
      QuotaService quotaService,
      Consumer<RateLimitResponse> responseListener) {
    this.plans = plans;
    this.quotaService = quotaService;
    this.responseListener = responseListener;
    quotaRequests.forEach(quota -> descriptors.add(new DescriptorState(quota)));
    undecidedCount = descriptors.size();
  }

  /** Requests the quota of each descriptor from the quota service. */
  void start(long timeoutMicros) {
    for (DescriptorState descriptor : descriptors) {
      QuotaRequest quota = descriptor.quotaRequest;
      if (quota == null) {
        onDecision(descriptor, Decision.ALLOWED, 0);
      } else {
        descriptor.requestId =
            quotaService.request(
                quota.requestClass(),
                quota.plan(),
                quota.customer(),
                quota.units(),
                timeoutMicros,
                (decision, retryAfterMicros) -> onDecision(descriptor, decision, retryAfterMicros));
      }
    }
  }

  private void onDecision(DescriptorState descriptor, Decision decision, long retryAfterMicros) {
    descriptor.decision = decision;
    descriptor.retryAfterMicros = retryAfterMicros;
    if (--undecidedCount == 0 && !isEnded) {
      // Completes in a later task of this context, because a request's id is known only after
      // request() has returned.
      Vertx.currentContext().runOnContext(v -> complete());
    }
  }

  private void complete() {
    if (isEnded) {
      return;
    }
    isEnded = true;
    boolean isUndecided =
        descriptors.stream().anyMatch(descriptor -> descriptor.decision == Decision.UNDECIDED);
    boolean isOverLimit = descriptors.stream().anyMatch(DescriptorState::isRejected);
    for (DescriptorState descriptor : descriptors) {
      if (descriptor.quotaRequest != null && descriptor.decision == Decision.ALLOWED) {
        if (isOverLimit || isUndecided) {
          quotaService.refund(descriptor.requestId);
        } else {
          quotaService.commit(descriptor.requestId, descriptor.quotaRequest.units());
        }
      }
    }
    responseListener.accept(isUndecided && !isOverLimit ? null : response(isOverLimit));
  }

  /** Cancels the call: there is no response, and nothing is charged. */
  void cancel() {
    if (!isEnded) {
      isEnded = true;
      descriptors.forEach(descriptor -> quotaService.cancel(descriptor.requestId));
    }
  }

  private RateLimitResponse response(boolean isOverLimit) {
    RateLimitResponse.Builder response =
        RateLimitResponse.newBuilder().setOverallCode(isOverLimit ? Code.OVER_LIMIT : Code.OK);
    long retryAfterSeconds = 1;
    for (DescriptorState descriptor : descriptors) {
      response.addStatuses(status(descriptor));
      if (descriptor.isRejected()) {
        retryAfterSeconds = Math.max(retryAfterSeconds, descriptor.retryAfterSeconds());
      }
    }
    if (isOverLimit) {
      response.addResponseHeadersToAdd(
          HeaderValue.newBuilder()
              .setKey("retry-after")
              .setValue(Long.toString(retryAfterSeconds)));
    }
    return response.build();
  }

  private DescriptorStatus.Builder status(DescriptorState descriptor) {
    DescriptorStatus.Builder status =
        DescriptorStatus.newBuilder().setCode(descriptor.isRejected() ? Code.OVER_LIMIT : Code.OK);
    QuotaRequest quota = descriptor.quotaRequest;
    Plan plan = quota == null ? null : plans.get(quota.plan());
    if (plan != null && plan.unitsPerSecond() > 0) {
      status.setCurrentLimit(currentLimit(plan));
    }
    if (descriptor.isRejected()) {
      status.setDurationUntilReset(
          Duration.newBuilder().setSeconds(descriptor.retryAfterSeconds()));
    }
    return status;
  }

  private static RateLimit.Builder currentLimit(Plan plan) {
    long unitsPerMinute = Math.round(SECONDS_PER_MINUTE * plan.unitsPerSecond());
    return RateLimit.newBuilder()
        .setName(plan.name())
        .setUnit(RateLimit.Unit.MINUTE)
        .setRequestsPerUnit((int) Math.min(Integer.MAX_VALUE, unitsPerMinute));
  }
}
