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
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One call with its descriptors: all or nothing. When one of them is over its limit nothing counts,
 * and what the others had counted is given back; so it is when the caller leaves. Answered exactly
 * once, or not at all when the caller has left.
 */
final class RateLimitCall {
  private static final double SECOND = 1e6;
  private final List<QuotaRequest> quotaRequests;
  private final QuotaService quotaService;
  private final Consumer<RateLimitResponse> responseListener;
  private final Map<String, Plan> plans;
  private final long[] ids;
  private final Decision[] verdicts;
  private final long[] retryAfter;
  private int undecidedCount;
  private boolean isEnded;

  /**
   * @param answer told once, null when it could not be decided in time
   */
  RateLimitCall(
      Map<String, Plan> plans,
      List<QuotaRequest> meanings,
      QuotaService quotas,
      Consumer<RateLimitResponse> answer) {
    this.plans = plans;
    this.quotaRequests = meanings;
    this.quotaService = quotas;
    this.responseListener = answer;
    ids = new long[meanings.size()];
    verdicts = new Decision[meanings.size()];
    retryAfter = new long[meanings.size()];
    undecidedCount = meanings.size();
  }

  /** Asks about each that has a meaning; the others are not limited. */
  void start(long withinMicros) {
    for (int i = 0; i < ids.length; i++) {
      QuotaRequest meaning = quotaRequests.get(i);
      int place = i;
      if (meaning == null) {
        onDecision(place, Decision.ALLOWED, 0);
      } else {
        ids[i] =
            quotaService.request(
                meaning.requestClass(),
                meaning.plan(),
                meaning.customer(),
                meaning.units(),
                withinMicros,
                (verdict, wait) -> onDecision(place, verdict, wait));
      }
    }
  }

  private void onDecision(int place, Decision verdict, long wait) {
    verdicts[place] = verdict;
    retryAfter[place] = wait;
    if (--undecidedCount == 0 && !isEnded) {
      // The number of a question is known only when ask has returned: the whole is ended in a later
      // turn of this context.
      Vertx.currentContext().runOnContext(v -> complete());
    }
  }

  private void complete() {
    if (isEnded) {
      return;
    }
    isEnded = true;
    boolean undecided = false;
    boolean refused = false;
    for (Decision each : verdicts) {
      undecided |= each == Decision.UNDECIDED;
      refused |= each == Decision.REJECTED;
    }
    for (int i = 0; i < ids.length; i++) {
      if (quotaRequests.get(i) != null && verdicts[i] == Decision.ALLOWED) {
        if (refused || undecided) {
          quotaService.refund(ids[i]);
        } else {
          quotaService.commit(ids[i], quotaRequests.get(i).units());
        }
      }
    }
    responseListener.accept(undecided && !refused ? null : response(refused));
  }

  /** The caller has left: nothing is answered, and nothing counts. */
  void cancel() {
    if (!isEnded) {
      isEnded = true;
      for (long id : ids) {
        quotaService.cancel(id);
      }
    }
  }

  private RateLimitResponse response(boolean refused) {
    RateLimitResponse.Builder all =
        RateLimitResponse.newBuilder().setOverallCode(refused ? Code.OVER_LIMIT : Code.OK);
    long longest = 0;
    for (int i = 0; i < ids.length; i++) {
      DescriptorStatus.Builder one =
          DescriptorStatus.newBuilder()
              .setCode(verdicts[i] == Decision.REJECTED ? Code.OVER_LIMIT : Code.OK);
      QuotaRequest meaning = quotaRequests.get(i);
      Plan plan = meaning == null ? null : plans.get(meaning.plan());
      if (plan != null && plan.unitsPerSecond() > 0) {
        one.setCurrentLimit(
            RateLimit.newBuilder()
                .setName(plan.name())
                .setUnit(RateLimit.Unit.MINUTE)
                .setRequestsPerUnit(
                    (int) Math.min(Integer.MAX_VALUE, Math.round(60 * plan.unitsPerSecond()))));
      }
      if (verdicts[i] == Decision.REJECTED) {
        one.setDurationUntilReset(
            Duration.newBuilder().setSeconds((long) Math.ceil(retryAfter[i] / SECOND)));
        longest = Math.max(longest, (long) Math.ceil(retryAfter[i] / SECOND));
      }
      all.addStatuses(one);
    }
    if (refused) {
      all.addResponseHeadersToAdd(
          HeaderValue.newBuilder()
              .setKey("retry-after")
              .setValue(Long.toString(Math.max(1, longest))));
    }
    return all.build();
  }
}
