package fawndock.ratelimit;

import com.google.protobuf.Duration;
import fawndock.gateway.QuotaHost;
import fawndock.gateway.QuotaHost.Verdict;
import fawndock.policy.config.Plan;
import fawndock.ratelimit.Mapping.Meaning;
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
final class Batch {
  private static final double SECOND = 1e6;
  private final List<Meaning> meanings;
  private final QuotaHost quotas;
  private final Consumer<RateLimitResponse> answer;
  private final Map<String, Plan> plans;
  private final long[] ids;
  private final Verdict[] verdicts;
  private final long[] retryAfter;
  private int open;
  private boolean over;

  /**
   * @param answer told once, null when it could not be decided in time
   */
  Batch(
      Map<String, Plan> plans,
      List<Meaning> meanings,
      QuotaHost quotas,
      Consumer<RateLimitResponse> answer) {
    this.plans = plans;
    this.meanings = meanings;
    this.quotas = quotas;
    this.answer = answer;
    ids = new long[meanings.size()];
    verdicts = new Verdict[meanings.size()];
    retryAfter = new long[meanings.size()];
    open = meanings.size();
  }

  /** Asks about each that has a meaning; the others are not limited. */
  void ask(long withinMicros) {
    for (int i = 0; i < ids.length; i++) {
      Meaning meaning = meanings.get(i);
      int place = i;
      if (meaning == null) {
        decided(place, Verdict.ALLOWED, 0);
      } else {
        ids[i] =
            quotas.ask(
                meaning.requestClass(),
                meaning.plan(),
                meaning.customer(),
                meaning.units(),
                withinMicros,
                (verdict, wait) -> decided(place, verdict, wait));
      }
    }
  }

  private void decided(int place, Verdict verdict, long wait) {
    verdicts[place] = verdict;
    retryAfter[place] = wait;
    if (--open == 0 && !over) {
      // The number of a question is known only when ask has returned: the whole is ended in a later
      // turn of this context.
      Vertx.currentContext().runOnContext(v -> end());
    }
  }

  private void end() {
    if (over) {
      return;
    }
    over = true;
    boolean undecided = false;
    boolean refused = false;
    for (Verdict each : verdicts) {
      undecided |= each == Verdict.UNDECIDED;
      refused |= each == Verdict.REFUSED;
    }
    for (int i = 0; i < ids.length; i++) {
      if (meanings.get(i) != null && verdicts[i] == Verdict.ALLOWED) {
        if (refused || undecided) {
          quotas.takeBack(ids[i]);
        } else {
          quotas.keep(ids[i], meanings.get(i).units());
        }
      }
    }
    answer.accept(undecided && !refused ? null : response(refused));
  }

  /** The caller has left: nothing is answered, and nothing counts. */
  void leave() {
    if (!over) {
      over = true;
      for (long id : ids) {
        quotas.leave(id);
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
              .setCode(verdicts[i] == Verdict.REFUSED ? Code.OVER_LIMIT : Code.OK);
      Meaning meaning = meanings.get(i);
      Plan plan = meaning == null ? null : plans.get(meaning.plan());
      if (plan != null && plan.unitsPerSecond() > 0) {
        one.setCurrentLimit(
            RateLimit.newBuilder()
                .setName(plan.name())
                .setUnit(RateLimit.Unit.MINUTE)
                .setRequestsPerUnit(
                    (int) Math.min(Integer.MAX_VALUE, Math.round(60 * plan.unitsPerSecond()))));
      }
      if (verdicts[i] == Verdict.REFUSED) {
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
