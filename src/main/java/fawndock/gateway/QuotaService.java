package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyEventQueue;
import fawndock.runtime.Timers;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Quota decisions for work that the caller does itself, such as calls of the gRPC rate limit
 * service. It has a policy of its own, with endpoints that stand for the callers, so that many
 * calls take no concurrency from forwarded requests; the counts are the same, by the same names on
 * the same counter. One context.
 */
public final class QuotaService implements AutoCloseable {
  /** How a request for quota ended. */
  public enum Decision {
    ALLOWED,
    REJECTED,
    UNDECIDED
  }

  /** Receives a decision, once, unless the request was cancelled before. */
  public interface DecisionListener {
    /**
     * Called on the context of the service.
     *
     * @param retryAfterMicros after which a rejected caller may ask again, else 0
     */
    void onDecision(Decision decision, long retryAfterMicros);
  }

  private static final Logger LOG = LoggerFactory.getLogger(QuotaService.class);
  private static final int CALLER_COUNT = 64;
  private static final long ROUND_TRIP_MICROS = 5_000;

  /** Units that a refunded request is settled with; the policy takes 0 for units not told. */
  private static final double REFUNDED_UNITS = 1e-9;

  private final MicroClock clock = new MicroClock();
  private final Timers timers;
  private final CounterClient counterClient;
  private final PolicyEventQueue eventQueue;
  private final int instanceCount;
  private final Map<Long, DecisionListener> undecided = new HashMap<>();

  /** Endpoint id of each request that is allowed and neither committed nor refunded. */
  private final Map<Long, String> allowed = new HashMap<>();

  private long nextRequestId = 1;

  /**
   * Connects to the counter; everything happens on the context given.
   *
   * @param instanceIndex its index in the fleet
   * @param policyFactory makes the policy from its configuration
   */
  public QuotaService(
      Vertx vertx,
      Context context,
      GatewaySettings settings,
      int instanceIndex,
      Function<PolicyConfig, GatewayPolicy> policyFactory) {
    timers = new Timers(vertx);
    instanceCount = settings.fleetSize();
    eventQueue =
        new PolicyEventQueue(
            policyFactory.apply(policyConfig(settings, instanceIndex)), clock, this::execute, LOG);
    counterClient =
        new CounterClient(vertx, context, settings.counter(), clock, timers, this::submit);
    List<Endpoint> callers = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      callers.add(new Endpoint("caller-" + i, "", 0, EndpointState.RUNNING, 1, 0));
    }
    submit(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, callers));
  }

  private static PolicyConfig policyConfig(GatewaySettings settings, int instanceIndex) {
    return new PolicyConfig(
        instanceIndex,
        settings.fleetSize(),
        settings.seed() + instanceIndex,
        ROUND_TRIP_MICROS,
        "",
        false,
        settings.classes(),
        settings.plans(),
        settings.limits(),
        settings.rules(),
        new CounterConfig(
            !settings.counter().isAbsent(), settings.counter().timeoutMicros(), true));
  }

  /**
   * Requests units of a customer's quota. What is allowed is charged from then on, and is to be
   * ended by {@link #commit} or {@link #refund}.
   *
   * @param timeoutMicros in which the caller wants the decision
   * @return the request's id
   */
  public long request(
      String requestClass,
      String plan,
      String customer,
      double units,
      long timeoutMicros,
      DecisionListener listener) {
    long id = nextRequestId++;
    undecided.put(id, listener);
    // A backstop, should the policy fail to decide in time.
    timers.schedule(timeoutMicros, () -> decide(id, Decision.UNDECIDED, 0));
    long deadlineAtMicros = clock.nowMicros() + timeoutMicros;
    submit(
        new RequestArrived(
            id, requestClass, plan, customer, deadlineAtMicros, units, instanceCount, 0, false));
    return id;
  }

  /** The caller has left: no decision is given, and nothing is charged. */
  public void cancel(long id) {
    if (undecided.remove(id) != null) {
      submit(new ClientDisconnected(id));
    }
    refund(id);
  }

  /** The allowed work is done: its units stay charged. */
  public void commit(long id, double units) {
    settle(id, units);
  }

  /** The allowed work is not done: its units are given back. */
  public void refund(long id) {
    settle(id, REFUNDED_UNITS);
  }

  private void settle(long id, double units) {
    String endpointId = allowed.remove(id);
    if (endpointId != null) {
      submit(
          new AttemptCompleted(id, 0, endpointId, 1, CallResult.OK, true, units, LoadReport.NONE));
    }
  }

  private void decide(long id, Decision decision, long retryAfterMicros) {
    DecisionListener listener = undecided.remove(id);
    if (listener != null) {
      listener.onDecision(decision, retryAfterMicros);
    }
  }

  private void submit(PolicyEvent event) {
    eventQueue.submit(event);
  }

  private void execute(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      allowed.put(a.requestId(), a.endpointId());
      if (undecided.containsKey(a.requestId())) {
        decide(a.requestId(), Decision.ALLOWED, 0);
      } else {
        refund(a.requestId());
      }
    } else if (action instanceof RejectRequest a) {
      decide(a.requestId(), Decision.REJECTED, a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      decide(a.requestId(), Decision.UNDECIDED, 0);
    } else if (action instanceof AddToCounter a) {
      counterClient.add(a);
    } else if (action instanceof ScheduleTimer a) {
      timers.schedule(a.delayMicros(), () -> submit(new TimerFired(a.timer())));
    }
  }

  /** Closes its connections and timers; closing it again has no effect. */
  @Override
  public void close() {
    counterClient.close();
    timers.close();
  }
}
