package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.deadline.Deadlines;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.PolicyTimer.AnswerDeadline;
import fawndock.policy.event.PolicyTimer.CounterWaitTimeout;
import fawndock.policy.event.PolicyTimer.FlushPendingAdds;
import fawndock.policy.event.PolicyTimer.LatencyObjectiveExceeded;
import fawndock.policy.event.PolicyTimer.QueueTimeout;
import fawndock.policy.event.PolicyTimer.RewatchEndpoints;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import fawndock.policy.quota.CounterCall;
import fawndock.policy.quota.QuotaAdmission;
import fawndock.policy.quota.QuotaDecision;
import fawndock.policy.retry.IdempotencyRules;
import fawndock.policy.retry.RetryPolicy;
import fawndock.policy.routing.EndpointRouter;
import fawndock.policy.routing.TrackedEndpoint;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The default {@link GatewayPolicy}, which dispatches events to the rules for quotas, queueing,
 * routing, retries and deadlines. A request is checked against its customer's quotas, waits for an
 * endpoint with capacity, is sent, and is answered before its client's deadline. Not thread-safe.
 */
public final class DefaultGatewayPolicy implements GatewayPolicy {
  private final EventContext context = new EventContext();
  private final ClassAndPlanTable classesAndPlans;
  private final Deadlines deadlines;
  private final QuotaAdmission quotas;
  private final RequestPriority priority;
  private final PendingRequestQueue queue;
  private final EndpointRouter router;
  private final RetryPolicy retries;
  private final RequestTable requests;

  /** Creates the policy of one gateway instance. */
  public DefaultGatewayPolicy(PolicyConfig config) {
    // All rules share one random number generator: the same seed and events give the same actions.
    SplittableRandom random = new SplittableRandom(config.randomSeed());
    IdempotencyRules idempotency = new IdempotencyRules(config.roundTripMicros());
    classesAndPlans = new ClassAndPlanTable(config);
    long maxObjectiveMicros = classesAndPlans.maxLatencyObjectiveMicros();
    deadlines = new Deadlines(config.roundTripMicros(), config.counter().timeoutMicros());
    quotas = new QuotaAdmission(context, random, config, deadlines, maxObjectiveMicros);
    priority = new RequestPriority(quotas);
    queue = new PendingRequestQueue(context, random, deadlines);
    router = new EndpointRouter(context, random, config, idempotency, maxObjectiveMicros);
    retries = new RetryPolicy(config.limits(), idempotency);
    requests =
        new RequestTable(context, queue, quotas, idempotency, config.limits().allowsCancellation());
  }

  @Override
  public List<PolicyAction> onEvent(long nowMicros, PolicyEvent event) {
    context.begin(nowMicros);
    if (event instanceof RequestArrived e) {
      onRequestArrived(e);
    } else if (event instanceof CounterReply e) {
      onCounterReply(e);
    } else if (event instanceof AttemptCompleted e) {
      onAttemptCompleted(e);
    } else if (event instanceof TimerFired e) {
      onTimer(e.timer());
    } else if (event instanceof EndpointUpdate e) {
      router.onEndpointUpdate(e);
    } else if (event instanceof ClientDisconnected e) {
      onClientDisconnected(e);
    } else if (event instanceof ResponseStarted e) {
      onResponseStarted(e);
    } // Health check results and peer messages are ignored.
    startAttempts();
    return context.actions();
  }

  private void onRequestArrived(RequestArrived arrived) {
    if (requests.contains(arrived.requestId())) {
      return;
    }
    PendingRequest request =
        new PendingRequest(
            arrived,
            classesAndPlans.requestClass(arrived.requestClass()),
            classesAndPlans.plan(arrived.plan()),
            context.nowMicros());
    requests.add(request);
    context.scheduleAt(
        deadlines.answerAtMicros(arrived.deadlineAtMicros(), context.nowMicros()),
        new AnswerDeadline(request.id()));
    apply(quotas.startCheck(request), request);
  }

  private void onCounterReply(CounterReply reply) {
    CounterCall call = quotas.onCounterReply(reply);
    if (call == null) {
      return;
    }
    for (PendingRequest request : call.waitingRequests()) {
      apply(quotas.onCallCompleted(call, reply, request), request);
    }
  }

  private void apply(QuotaDecision verdict, PendingRequest request) {
    switch (verdict.status()) {
      case ADMITTED -> {
        request.markQuotaDecided();
        priority.assign(request);
        queue.add(request);
      }
      case REJECTED -> requests.rejectOrFail(request, verdict.retryAfterMicros());
      case UNDECIDED -> {
        // A counter reply or the CounterWaitTimeout timer leads to the verdict.
      }
    }
  }

  /**
   * Sends queued requests in order until a first attempt finds no endpoint. Retries that find none
   * are skipped, because fewer endpoints may take them.
   */
  private void startAttempts() {
    PendingRequest request = queue.first();
    while (request != null) {
      TrackedEndpoint endpoint = router.select(request);
      PendingRequest next = queue.next(request);
      if (endpoint != null) {
        queue.remove(request);
        startAttempt(request, endpoint);
      } else if (request.attempts().isEmpty()) {
        return;
      }
      request = next;
    }
  }

  private void startAttempt(PendingRequest request, TrackedEndpoint endpoint) {
    if (request.attempts().isEmpty()) {
      quotas.recordForwarded(request);
    }
    router.startAttempt(request, endpoint);
    retries.onAttemptStarted();
  }

  private void onAttemptCompleted(AttemptCompleted completed) {
    PendingRequest request = requests.find(completed.requestId());
    Attempt attempt = request == null ? null : request.attempt(completed.attemptIndex());
    if (attempt == null || attempt.isCompleted()) {
      return;
    }
    router.completeAttempt(request, attempt, completed);
    if (completed.result() == CallResult.OK) {
      quotas.settle(request, completed.settledUnits());
    }
    if (completed.isFinal()) {
      requests.markAnswered(request);
    }
    if (!request.isDone() && request.inFlightAttempts() == 0) {
      retryOrEnd(request);
    }
    requests.removeIfEnded(request);
  }

  private void retryOrEnd(PendingRequest request) {
    if (retries.tryRetry(request, context.nowMicros())) {
      queue.add(request);
    } else {
      requests.rejectOrFail(request, (long) request.requestClass().meanLatencyMicros());
    }
  }

  private void onTimer(PolicyTimer timer) {
    if (timer instanceof RewatchEndpoints) {
      context.emit(new WatchEndpoints());
    } else if (timer instanceof FlushPendingAdds t) {
      quotas.flushPendingAdds(t.counterName());
    } else if (timer instanceof LatencyObjectiveExceeded t) {
      onLatencyObjectiveExceeded(requests.find(t.requestId()));
    } else if (timer instanceof CounterWaitTimeout t) {
      onCounterWaitTimeout(requests.findUnanswered(t.requestId()));
    } else if (timer instanceof QueueTimeout t) {
      onQueueTimeout(requests.findUnanswered(t.requestId()));
    } else if (timer instanceof AnswerDeadline t) {
      onAnswerDeadline(requests.findUnanswered(t.requestId()));
    }
  }

  private void onLatencyObjectiveExceeded(PendingRequest request) {
    if (request != null) {
      router.onLatencyObjectiveExceeded(request);
    }
  }

  private void onCounterWaitTimeout(PendingRequest request) {
    if (request != null && !request.isQuotaDecided()) {
      apply(quotas.decide(request), request);
    }
  }

  private void onQueueTimeout(PendingRequest request) {
    boolean isTimedOut =
        request != null
            && context.nowMicros() >= request.queueTimeoutAtMicros()
            && queue.remove(request);
    if (isTimedOut && request.inFlightAttempts() == 0) {
      requests.rejectOrFail(request, (long) request.requestClass().meanLatencyMicros());
    }
  }

  private void onAnswerDeadline(PendingRequest request) {
    if (request != null) {
      requests.fail(request);
    }
  }

  private void onClientDisconnected(ClientDisconnected disconnected) {
    PendingRequest request = requests.find(disconnected.requestId());
    if (request != null && !request.isDone()) {
      requests.abandon(request);
    }
  }

  private void onResponseStarted(ResponseStarted started) {
    PendingRequest request = requests.find(started.requestId());
    if (request != null) {
      requests.markStreaming(request);
    }
  }
}
