package fawndock.runtime;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.FetchEndpoints;
import fawndock.policy.action.LogMessage;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.StartHealthCheck;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.PolicyTimer.RequestTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import fawndock.runtime.ResponseRecorder.RequestOutcome;
import fawndock.runtime.ServerExchange.RequestAttributes;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one {@link GatewayPolicy} on one event loop: passes events to it in order, executes the
 * actions that it returns, and enforces each request's deadline. Confined to that event loop.
 */
public final class PolicyRunner {
  private static final Logger LOG = LoggerFactory.getLogger(PolicyRunner.class);

  /** The gateway's connections to endpoints, the counter service, peers and endpoint discovery. */
  public interface GatewayConnections {
    /**
     * Adds to a counter. Reports exactly one {@link CounterReply}, in a later task of the event
     * loop, and in the order of the calls to each counter.
     */
    void addToCounter(AddToCounter action);

    /** Sends a message to one peer or to all peers; delivery is not guaranteed. */
    void sendPeerMessage(SendPeerMessage action);

    /** Watches discovery, which reports a complete endpoint list and then each change. */
    void watchEndpoints();

    /** Fetches a complete endpoint list once. */
    void fetchEndpoints();

    /** Creates an attempt without starting it. */
    InFlightAttempt createAttempt(InFlightRequest request, int index, String endpointId);

    /** Checks an endpoint's health; reports exactly one {@link HealthCheckCompleted}. */
    void startHealthCheck(String endpointId);
  }

  private final MicroClock clock;
  private final Timers timers;
  private final GatewayConnections connections;
  private final int maxAttempts;
  private final ResponseRecorder recorder;
  private final Map<Long, InFlightRequest> inFlightRequests = new HashMap<>();
  private PolicyEventQueue eventQueue;
  private long nextRequestId;
  private int openRequestCount;
  private Runnable idleListener;

  /**
   * Creates a runner without a policy; {@link #setPolicy} sets it.
   *
   * @param maxAttempts maximum number of attempts of a request; further attempts are not sent
   * @param firstRequestId id of the first request; where endpoints receive request ids, it must be
   *     above the ids of an earlier run of this process
   */
  public PolicyRunner(
      MicroClock clock,
      Timers timers,
      GatewayConnections connections,
      int maxAttempts,
      long firstRequestId,
      ResponseRecorder recorder) {
    this.clock = clock;
    this.timers = timers;
    this.connections = connections;
    this.maxAttempts = maxAttempts;
    this.recorder = recorder;
    this.nextRequestId = firstRequestId;
  }

  /** Sets the policy; must be called before the first event. */
  public void setPolicy(GatewayPolicy policy) {
    eventQueue = new PolicyEventQueue(policy, clock, this::execute, LOG);
  }

  /**
   * Accepts a client's request and reports it to the policy. Its exchange gets exactly one final
   * response, unless the client disconnects first.
   *
   * @return the request's id
   */
  public long onRequest(ServerExchange exchange) {
    RequestAttributes attributes = exchange.requestAttributes();
    InFlightRequest request = new InFlightRequest(nextRequestId++, exchange);
    inFlightRequests.put(request.id, request);
    openRequestCount++;
    // The policy is expected to respond before the client's deadline. This timer fails the request
    // when the policy has not responded, and fires late when the event loop is delayed.
    request.deadlineTimer =
        timers.schedule(
            attributes.deadlineAtMicros() - clock.nowMicros(), () -> onDeadlineExceeded(request));
    onEvent(
        new RequestArrived(
            request.id,
            attributes.requestClass().name(),
            attributes.plan(),
            attributes.customer(),
            attributes.deadlineAtMicros(),
            attributes.units(),
            attributes.customerInstanceCount(),
            attributes.customerFirstInstance(),
            attributes.isRetry()));
    return request.id;
  }

  /**
   * Completes a request whose client has disconnected; does nothing when it has already completed.
   */
  public void onClientDisconnected(long requestId) {
    InFlightRequest request = inFlightRequests.get(requestId);
    if (request == null || request.isCompleted()) {
      return;
    }
    complete(request, RequestOutcome.DISCONNECTED, "client left");
    request.attempts.forEach(InFlightAttempt::onClientDisconnected);
    onEvent(new ClientDisconnected(requestId));
    removeIfFinished(request);
  }

  /** Passes an event to the policy and executes its actions, now or after the current event. */
  public void onEvent(PolicyEvent event) {
    eventQueue.submit(event);
  }

  private void execute(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      startAttempt(a);
    } else if (action instanceof RejectRequest a) {
      rejectRequest(a);
    } else if (action instanceof FailRequest a) {
      failRequest(inFlightRequests.get(a.requestId()));
    } else if (action instanceof AddToCounter a) {
      connections.addToCounter(a);
    } else if (action instanceof ScheduleTimer a) {
      scheduleTimer(a);
    } else if (action instanceof CancelAttempt a) {
      cancelAttempt(a);
    } else if (action instanceof StartHealthCheck a) {
      connections.startHealthCheck(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      connections.sendPeerMessage(a);
    } else if (action instanceof FetchEndpoints) {
      connections.fetchEndpoints();
    } else if (action instanceof WatchEndpoints) {
      connections.watchEndpoints();
    } else if (action instanceof LogMessage a) {
      LOG.info("policy: {}", a.text());
    }
  }

  private void scheduleTimer(ScheduleTimer action) {
    PolicyTimer policyTimer = action.timer();
    Timers.Timer timer =
        timers.schedule(action.delayMicros(), () -> onEvent(new TimerFired(policyTimer)));
    InFlightRequest request =
        policyTimer instanceof RequestTimer requestTimer
            ? inFlightRequests.get(requestTimer.requestId())
            : null;
    if (request != null) {
      request.policyTimers.add(timer);
    }
  }

  private void startAttempt(StartAttempt action) {
    InFlightRequest request = inFlightRequests.get(action.requestId());
    if (request == null) {
      LOG.error("attempt for unknown request: request={}", action.requestId());
      return;
    }
    InFlightAttempt attempt =
        connections.createAttempt(request, request.attempts.size(), action.endpointId());
    request.attempts.add(attempt);
    request.activeAttemptCount++;
    long clientDeadlineMicros = request.exchange.requestAttributes().deadlineAtMicros();
    long deadlineMicros =
        action.deadlineAtMicros() <= 0
            ? clientDeadlineMicros
            : Math.min(action.deadlineAtMicros(), clientDeadlineMicros);
    if (!request.isOpen() || attempt.index >= maxAttempts || deadlineMicros <= clock.nowMicros()) {
      attempt.complete(CallResult.NOT_SENT);
      return;
    }
    attempt.start(deadlineMicros, action.sendDeadlineAtMicros());
  }

  private void cancelAttempt(CancelAttempt action) {
    InFlightRequest request = inFlightRequests.get(action.requestId());
    int index = action.attemptIndex();
    if (request != null && index >= 0 && index < request.attempts.size()) {
      request.attempts.get(index).cancel();
    }
  }

  /**
   * Passes an attempt's complete response to the client. Does nothing when the request is no longer
   * open, for example because another attempt's response has been passed on.
   *
   * @param responseWriter writes the response to the client
   */
  public void deliverResponse(
      InFlightRequest request, InFlightAttempt attempt, Runnable responseWriter) {
    if (request.isOpen()) {
      complete(request, RequestOutcome.SERVED, attempt.endpointId);
      responseWriter.run();
    }
  }

  /**
   * Records that an attempt's response is being streamed to the client; the request must be open.
   */
  public void onStreamStarted(InFlightRequest request, InFlightAttempt attempt) {
    request.startStreaming();
    timers.cancel(request.deadlineTimer);
    onEvent(new ResponseStarted(request.id, attempt.index, attempt.endpointId));
  }

  /** Records the end of a streamed response; aborts the exchange if the response is incomplete. */
  public void onStreamEnded(InFlightRequest request, InFlightAttempt attempt, boolean isComplete) {
    if (!request.isStreaming()) {
      return;
    }
    if (isComplete) {
      complete(request, RequestOutcome.SERVED, attempt.endpointId);
    } else {
      complete(request, RequestOutcome.FAILED, "stream broke");
      request.exchange.abort();
    }
  }

  /** Reports a completed attempt to the policy. */
  void onAttemptCompleted(
      InFlightRequest request,
      InFlightAttempt attempt,
      long durationMicros,
      LoadReport load,
      double units) {
    request.activeAttemptCount--;
    onEvent(
        new AttemptCompleted(
            request.id,
            attempt.index,
            attempt.endpointId,
            durationMicros,
            attempt.result(),
            request.isCompleted(),
            attempt.result() == CallResult.OK ? units : 0,
            load));
    removeIfFinished(request);
  }

  private void rejectRequest(RejectRequest action) {
    InFlightRequest request = inFlightRequests.get(action.requestId());
    if (request == null || !request.isOpen()) {
      return;
    }
    complete(request, RequestOutcome.REJECTED, failureReason(request));
    request.exchange.reject(action.retryAfterMicros());
    removeIfFinished(request);
  }

  private void failRequest(InFlightRequest request) {
    if (request == null || !request.isOpen()) {
      return;
    }
    String reason = failureReason(request);
    boolean hasLastAttemptFailed = request.hasLastAttemptFailed();
    complete(request, RequestOutcome.FAILED, reason);
    request.exchange.fail(hasLastAttemptFailed, reason);
    removeIfFinished(request);
  }

  private void onDeadlineExceeded(InFlightRequest request) {
    if (request.isOpen()) {
      LOG.error("deadline exceeded without a decision, request={}", request.id);
      failRequest(request);
      onEvent(new ClientDisconnected(request.id));
    }
  }

  /** Returns why there is no response, according to the last attempt. */
  private static String failureReason(InFlightRequest request) {
    if (request.attempts.isEmpty()) {
      return "not sent";
    }
    CallResult result = request.lastResult();
    return result == null ? "no answer yet" : "last attempt " + resultName(result);
  }

  /**
   * Returns the name of a result in the access log and in problem details; operators search for it.
   */
  private static String resultName(CallResult result) {
    return result == CallResult.NOT_SENT ? "unused" : result.name().toLowerCase(Locale.ROOT);
  }

  private void complete(InFlightRequest request, RequestOutcome outcome, String reason) {
    request.complete();
    timers.cancel(request.deadlineTimer);
    openRequestCount--;
    recorder.onResponse(request, clock.nowMicros(), outcome, reason);
  }

  /**
   * Removes a request that has completed and has no attempt in flight, with the policy's timers for
   * it.
   */
  private void removeIfFinished(InFlightRequest request) {
    if (!request.isCompleted() || request.activeAttemptCount > 0) {
      return;
    }
    request.policyTimers.forEach(timers::cancel);
    boolean isRemoved = inFlightRequests.remove(request.id) != null;
    if (isRemoved && inFlightRequests.isEmpty() && idleListener != null) {
      idleListener.run();
    }
  }

  /** Returns the number of requests that have no final response yet. */
  public int openRequestCount() {
    return openRequestCount;
  }

  /**
   * Calls the listener whenever the last request or attempt in flight has completed, and
   * immediately if none is in flight now.
   */
  public void whenIdle(Runnable listener) {
    idleListener = listener;
    if (inFlightRequests.isEmpty()) {
      listener.run();
    }
  }

  /** Returns the clock that this runner takes all times from. */
  public MicroClock clock() {
    return clock;
  }

  /** Returns the timers of this runner's event loop. */
  public Timers timers() {
    return timers;
  }
}
