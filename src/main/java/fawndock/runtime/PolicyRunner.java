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
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import fawndock.runtime.InFlightRequest.Stage;
import fawndock.runtime.ResponseRecorder.RequestOutcome;
import fawndock.runtime.ServerExchange.RequestAttributes;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gatekeeper on one event-loop context: tells it what happens, in order, and carries out what
 * it returns. What the sockets tell while an action is carried out waits its turn, so the
 * gatekeeper never calls itself. All methods belong to that one context.
 */
public final class PolicyRunner {
  private static final Logger LOG = LoggerFactory.getLogger(PolicyRunner.class);

  /** What a host reaches beside its clients: servers, counter service, fellows and discovery. */
  public interface GatewayConnections {
    /**
     * Adds to a count; tells exactly one {@link CounterReply}, in a later turn, in order for each
     * name.
     */
    void addToCounter(AddToCounter count);

    void sendPeerMessage(SendPeerMessage tell);

    /** Asks the roster for the complete list anew, and for changes after it. */
    void watchEndpoints();

    void fetchEndpoints();

    /** Makes an attempt that is not started yet. */
    InFlightAttempt createAttempt(InFlightRequest request, int number, String server);

    /** Probes a server; tells exactly one {@link HealthCheckCompleted}. */
    void startHealthCheck(String server);
  }

  private final MicroClock clock;
  private final Timers timers;
  private final GatewayConnections connections;
  private final int maxAttempts;
  private final ResponseRecorder recorder;
  private final Map<Long, InFlightRequest> inFlightRequests = new HashMap<>();
  private PolicyEventQueue eventQueue;
  private long nextRequestId;
  private int openCount;
  private Runnable whenIdle;

  /**
   * A host that has no decisions yet.
   *
   * @param maxAttempts the most attempts of one request; more are never sent
   * @param firstId of the requests: where servers are told it, above those of an earlier life of
   *     this process
   */
  public PolicyRunner(
      MicroClock clock,
      Timers alarms,
      GatewayConnections links,
      int maxAttempts,
      long firstId,
      ResponseRecorder answers) {
    this.clock = clock;
    this.timers = alarms;
    this.connections = links;
    this.maxAttempts = maxAttempts;
    this.recorder = answers;
    this.nextRequestId = firstId;
  }

  /** Gives the decisions; to be called before anything is told. */
  public void setPolicy(GatewayPolicy decider) {
    eventQueue = new PolicyEventQueue(decider, clock, this::execute, LOG);
  }

  /** Takes on a client's request; the exchange is answered exactly once, or the client has left. */
  public long onRequest(ServerExchange exchange) {
    RequestAttributes asked = exchange.requestAttributes();
    InFlightRequest request = new InFlightRequest(nextRequestId++, exchange);
    inFlightRequests.put(request.id, request);
    openCount++;
    // The gatekeeper answers before the client gives up. Guards against one that failed to; each
    // such answer
    // is logged as an error. May answer late when the event loop itself is late.
    request.deadlineTimer =
        timers.schedule(asked.deadlineAtMicros() - clock.now(), () -> onDeadlineExceeded(request));
    onEvent(
        new RequestArrived(
            request.id,
            asked.requestClass().name(),
            asked.plan(),
            asked.customer(),
            asked.deadlineAtMicros(),
            asked.units(),
            asked.customerInstanceCount(),
            asked.customerFirstInstance(),
            asked.isRetry()));
    return request.id;
  }

  /** The client of a request has left. */
  public void onClientDisconnected(long id) {
    InFlightRequest request = inFlightRequests.get(id);
    if (request == null || request.isCompleted()) {
      return;
    }
    complete(request, RequestOutcome.DISCONNECTED, "client left");
    request.attempts.forEach(InFlightAttempt::onClientDisconnected);
    onEvent(new ClientDisconnected(id));
    removeIfFinished(request);
  }

  /**
   * Tells the gatekeeper what happened and carries out what it says, now or after what is being
   * told.
   */
  public void onEvent(PolicyEvent event) {
    eventQueue.submit(event);
  }

  private void execute(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      startAttempt(a);
    } else if (action instanceof RejectRequest a) {
      InFlightRequest request = inFlightRequests.get(a.requestId());
      if (request != null && request.stage == Stage.OPEN) {
        complete(request, RequestOutcome.REJECTED, failureReason(request));
        request.exchange.reject(a.retryAfterMicros());
        removeIfFinished(request);
      }
    } else if (action instanceof FailRequest a) {
      failRequest(inFlightRequests.get(a.requestId()));
    } else if (action instanceof AddToCounter a) {
      connections.addToCounter(a);
    } else if (action instanceof ScheduleTimer a) {
      PolicyTimer timer = a.timer();
      timers.schedule(a.delayMicros(), () -> onEvent(new TimerFired(timer)));
    } else if (action instanceof CancelAttempt a) {
      InFlightRequest request = inFlightRequests.get(a.requestId());
      if (request != null && a.attemptIndex() >= 0 && a.attemptIndex() < request.attempts.size()) {
        request.attempts.get(a.attemptIndex()).cancel();
      }
    } else if (action instanceof StartHealthCheck a) {
      connections.startHealthCheck(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      connections.sendPeerMessage(a);
    } else if (action instanceof FetchEndpoints) {
      connections.fetchEndpoints();
    } else if (action instanceof WatchEndpoints) {
      connections.watchEndpoints();
    } else if (action instanceof LogMessage a) {
      LOG.info("gatekeeper: {}", a.text());
    }
  }

  private void startAttempt(StartAttempt a) {
    InFlightRequest request = inFlightRequests.get(a.requestId());
    if (request == null) {
      LOG.error("attempt for request {}, which is not held", a.requestId());
      return;
    }
    InFlightAttempt attempt =
        connections.createAttempt(request, request.attempts.size(), a.endpointId());
    request.attempts.add(attempt);
    request.activeAttemptCount++;
    RequestAttributes asked = request.exchange.requestAttributes();
    long abandonAt =
        a.deadlineAtMicros() <= 0
            ? asked.deadlineAtMicros()
            : Math.min(a.deadlineAtMicros(), asked.deadlineAtMicros());
    if (request.stage != Stage.OPEN || attempt.index >= maxAttempts || abandonAt <= clock.now()) {
      attempt.complete(CallResult.NOT_SENT);
      return;
    }
    attempt.start(abandonAt);
  }

  /**
   * An attempt's whole answer has come; it is the client's, passed on by what is given, when it is
   * the first.
   */
  public void deliverResponse(InFlightRequest request, InFlightAttempt attempt, Runnable serve) {
    if (request.stage == Stage.OPEN) {
      complete(request, RequestOutcome.SERVED, attempt.endpointId);
      serve.run();
    }
  }

  /** A streamed answer begins. */
  public void onStreamStarted(InFlightRequest request, InFlightAttempt attempt) {
    request.startStreaming();
    timers.cancel(request.deadlineTimer);
    onEvent(new ResponseStarted(request.id, attempt.index, attempt.endpointId));
  }

  /** A streamed answer has ended, whole or not. */
  public void onStreamEnded(InFlightRequest request, InFlightAttempt attempt, boolean whole) {
    if (request.stage == Stage.STREAMING) {
      complete(
          request,
          whole ? RequestOutcome.SERVED : RequestOutcome.FAILED,
          whole ? attempt.endpointId : "stream broke");
      if (!whole) {
        request.exchange.abort();
      }
    }
  }

  /** An attempt ended. */
  void onAttemptCompleted(
      InFlightRequest request,
      InFlightAttempt attempt,
      long tookMicros,
      Map<String, Double> load,
      double units) {
    request.activeAttemptCount--;
    onEvent(
        new AttemptCompleted(
            request.id,
            attempt.index,
            attempt.endpointId,
            tookMicros,
            attempt.result(),
            request.isCompleted(),
            attempt.result() == CallResult.OK ? units : 0,
            load));
    removeIfFinished(request);
  }

  private void failRequest(InFlightRequest request) {
    if (request == null || request.stage != Stage.OPEN) {
      return;
    }
    String reason = failureReason(request);
    boolean answered = request.hasAttemptFailure();
    complete(request, RequestOutcome.FAILED, reason);
    request.exchange.fail(answered, reason);
    removeIfFinished(request);
  }

  private void onDeadlineExceeded(InFlightRequest request) {
    if (request.stage == Stage.OPEN) {
      LOG.error("request {} had no answer from its gatekeeper in time", request.id);
      failRequest(request);
      onEvent(new ClientDisconnected(request.id));
    }
  }

  /** What the host knows of why there is no answer: how the last attempt ended. */
  private static String failureReason(InFlightRequest request) {
    if (request.attempts.isEmpty()) {
      return "not sent";
    }
    CallResult last = request.attempts.get(request.attempts.size() - 1).result();
    return last == null
        ? "no answer yet"
        : "last attempt " + last.name().toLowerCase(java.util.Locale.ROOT);
  }

  private void complete(InFlightRequest request, RequestOutcome verdict, String reason) {
    request.stage = Stage.COMPLETED;
    timers.cancel(request.deadlineTimer);
    openCount--;
    recorder.onResponse(request, clock.now(), verdict, reason);
  }

  private void removeIfFinished(InFlightRequest request) {
    if (request.isCompleted()
        && request.activeAttemptCount == 0
        && inFlightRequests.remove(request.id) != null
        && inFlightRequests.isEmpty()
        && whenIdle != null) {
      whenIdle.run();
    }
  }

  /** Requests without their final answer. */
  public int openCount() {
    return openCount;
  }

  /** Runs something once nothing is held any more: at once when that is so now. */
  public void whenIdle(Runnable what) {
    whenIdle = what;
    if (inFlightRequests.isEmpty()) {
      what.run();
    }
  }

  public MicroClock clock() {
    return clock;
  }

  public Timers timers() {
    return timers;
  }
}
