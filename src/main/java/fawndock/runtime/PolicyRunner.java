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
  private final GatewayConnections links;
  private final int maxAttempts;
  private final ResponseRecorder answers;
  private final Map<Long, InFlightRequest> requests = new HashMap<>();
  private PolicyEventQueue decisions;
  private long nextId;
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
    this.links = links;
    this.maxAttempts = maxAttempts;
    this.answers = answers;
    this.nextId = firstId;
  }

  /** Gives the decisions; to be called before anything is told. */
  public void decideBy(GatewayPolicy decider) {
    decisions = new PolicyEventQueue(decider, clock, this::carryOut, LOG);
  }

  /** Takes on a client's request; the exchange is answered exactly once, or the client has left. */
  public long onRequest(ServerExchange exchange) {
    RequestAttributes asked = exchange.requestAttributes();
    InFlightRequest request = new InFlightRequest(nextId++, exchange);
    requests.put(request.id, request);
    openCount++;
    // The gatekeeper answers before the client gives up. Guards against one that failed to; each
    // such answer
    // is logged as an error. May answer late when the event loop itself is late.
    request.backstop =
        timers.schedule(asked.deadlineAtMicros() - clock.now(), () -> overdue(request));
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
    InFlightRequest request = requests.get(id);
    if (request == null || request.over()) {
      return;
    }
    over(request, RequestOutcome.DISCONNECTED, "client left");
    request.attempts.forEach(InFlightAttempt::leave);
    onEvent(new ClientDisconnected(id));
    forget(request);
  }

  /**
   * Tells the gatekeeper what happened and carries out what it says, now or after what is being
   * told.
   */
  public void onEvent(PolicyEvent event) {
    decisions.submit(event);
  }

  private void carryOut(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      attempt(a);
    } else if (action instanceof RejectRequest a) {
      InFlightRequest request = requests.get(a.requestId());
      if (request != null && request.stage == Stage.OPEN) {
        over(request, RequestOutcome.REJECTED, reason(request));
        request.exchange.reject(a.retryAfterMicros());
        forget(request);
      }
    } else if (action instanceof FailRequest a) {
      fail(requests.get(a.requestId()));
    } else if (action instanceof AddToCounter a) {
      links.addToCounter(a);
    } else if (action instanceof ScheduleTimer a) {
      PolicyTimer timer = a.timer();
      timers.schedule(a.delayMicros(), () -> onEvent(new TimerFired(timer)));
    } else if (action instanceof CancelAttempt a) {
      InFlightRequest request = requests.get(a.requestId());
      if (request != null && a.attemptIndex() >= 0 && a.attemptIndex() < request.attempts.size()) {
        request.attempts.get(a.attemptIndex()).cancel();
      }
    } else if (action instanceof StartHealthCheck a) {
      links.startHealthCheck(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      links.sendPeerMessage(a);
    } else if (action instanceof FetchEndpoints) {
      links.fetchEndpoints();
    } else if (action instanceof WatchEndpoints) {
      links.watchEndpoints();
    } else if (action instanceof LogMessage a) {
      LOG.info("gatekeeper: {}", a.text());
    }
  }

  private void attempt(StartAttempt a) {
    InFlightRequest request = requests.get(a.requestId());
    if (request == null) {
      LOG.error("attempt for request {}, which is not held", a.requestId());
      return;
    }
    InFlightAttempt attempt = links.createAttempt(request, request.attempts.size(), a.endpointId());
    request.attempts.add(attempt);
    request.out++;
    RequestAttributes asked = request.exchange.requestAttributes();
    long abandonAt =
        a.deadlineAtMicros() <= 0
            ? asked.deadlineAtMicros()
            : Math.min(a.deadlineAtMicros(), asked.deadlineAtMicros());
    if (request.stage != Stage.OPEN || attempt.number >= maxAttempts || abandonAt <= clock.now()) {
      attempt.end(CallResult.NOT_SENT);
      return;
    }
    attempt.start(abandonAt);
  }

  /**
   * An attempt's whole answer has come; it is the client's, passed on by what is given, when it is
   * the first.
   */
  public void deliver(InFlightRequest request, InFlightAttempt attempt, Runnable serve) {
    if (request.stage == Stage.OPEN) {
      over(request, RequestOutcome.SERVED, attempt.endpointId);
      serve.run();
    }
  }

  /** A streamed answer begins. */
  public void begin(InFlightRequest request, InFlightAttempt attempt) {
    request.stream();
    timers.cancel(request.backstop);
    onEvent(new ResponseStarted(request.id, attempt.number, attempt.endpointId));
  }

  /** A streamed answer has ended, whole or not. */
  public void streamed(InFlightRequest request, InFlightAttempt attempt, boolean whole) {
    if (request.stage == Stage.STREAMING) {
      over(
          request,
          whole ? RequestOutcome.SERVED : RequestOutcome.FAILED,
          whole ? attempt.endpointId : "stream broke");
      if (!whole) {
        request.exchange.abort();
      }
    }
  }

  /** An attempt ended. */
  void ended(
      InFlightRequest request,
      InFlightAttempt attempt,
      long tookMicros,
      Map<String, Double> load,
      double units) {
    request.out--;
    onEvent(
        new AttemptCompleted(
            request.id,
            attempt.number,
            attempt.endpointId,
            tookMicros,
            attempt.result(),
            request.over(),
            attempt.result() == CallResult.OK ? units : 0,
            load));
    forget(request);
  }

  private void fail(InFlightRequest request) {
    if (request == null || request.stage != Stage.OPEN) {
      return;
    }
    String reason = reason(request);
    boolean answered = request.answered();
    over(request, RequestOutcome.FAILED, reason);
    request.exchange.fail(answered, reason);
    forget(request);
  }

  private void overdue(InFlightRequest request) {
    if (request.stage == Stage.OPEN) {
      LOG.error("request {} had no answer from its gatekeeper in time", request.id);
      fail(request);
      onEvent(new ClientDisconnected(request.id));
    }
  }

  /** What the host knows of why there is no answer: how the last attempt ended. */
  private static String reason(InFlightRequest request) {
    if (request.attempts.isEmpty()) {
      return "not sent";
    }
    CallResult last = request.attempts.get(request.attempts.size() - 1).result();
    return last == null
        ? "no answer yet"
        : "last attempt " + last.name().toLowerCase(java.util.Locale.ROOT);
  }

  private void over(InFlightRequest request, RequestOutcome verdict, String reason) {
    request.stage = Stage.OVER;
    timers.cancel(request.backstop);
    openCount--;
    answers.onResponse(request, clock.now(), verdict, reason);
  }

  private void forget(InFlightRequest request) {
    if (request.over()
        && request.out == 0
        && requests.remove(request.id) != null
        && requests.isEmpty()
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
    if (requests.isEmpty()) {
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
