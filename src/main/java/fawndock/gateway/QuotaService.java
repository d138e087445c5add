package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
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
 * Quota decisions for requests that the caller processes itself, such as those of the gRPC rate
 * limit service. It runs a separate policy with virtual endpoints, so that many calls do not reduce
 * the concurrency of forwarded requests; both use the same counter names on the same counter and
 * thus share the quotas. The service is confined to one event-loop context.
 */
public final class QuotaService implements AutoCloseable {
  /** Result of a request for quota. */
  public enum Decision {
    ALLOWED,
    REJECTED,
    UNDECIDED
  }

  /** Receives the decision on a request exactly once, unless the request is cancelled first. */
  public interface DecisionListener {
    /**
     * Called on the context of the service.
     *
     * @param retryAfterMicros delay after which a rejected caller may retry, or 0
     */
    void onDecision(Decision decision, long retryAfterMicros);
  }

  private static final Logger LOG = LoggerFactory.getLogger(QuotaService.class);
  private static final int VIRTUAL_ENDPOINT_COUNT = 64;

  /** Units that a refunded request is settled with; the policy treats 0 as units not reported. */
  private static final double REFUNDED_UNITS = 1e-9;

  private final MicroClock clock = new MicroClock();
  private final Timers timers;
  private final CounterClient counterClient;
  private final PolicyEventQueue eventQueue;
  private final int instanceCount;
  private final Map<Long, DecisionListener> pendingListeners = new HashMap<>();

  /** Virtual endpoint ids of the requests that are allowed and not yet committed or refunded. */
  private final Map<Long, String> allowedEndpointIds = new HashMap<>();

  private long nextRequestId = 1;

  /**
   * Creates the service and starts connecting to the counter. All work runs on the given context.
   *
   * @param instanceIndex index of the gateway instance in the fleet
   * @param policyFactory creates the policy from its configuration
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
            policyFactory.apply(PolicyConfigFactory.forQuotaService(settings, instanceIndex)),
            clock,
            this::execute,
            LOG);
    counterClient =
        new CounterClient(vertx, context, settings.counter(), clock, timers, this::submit);
    List<Endpoint> virtualEndpoints = new ArrayList<>();
    for (int i = 0; i < VIRTUAL_ENDPOINT_COUNT; i++) {
      virtualEndpoints.add(new Endpoint("caller-" + i, "", 0, EndpointState.RUNNING, 1, 0));
    }
    submit(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, virtualEndpoints));
  }

  /**
   * Requests units of a customer's quota. If the request is allowed, the units are charged, and the
   * caller must end the request with {@link #commit} or {@link #refund}.
   *
   * @param timeoutMicros time within which the decision is made; after it the request is undecided
   * @return the id of the request
   */
  public long request(
      String requestClass,
      String plan,
      String customer,
      double units,
      long timeoutMicros,
      DecisionListener listener) {
    long id = nextRequestId++;
    pendingListeners.put(id, listener);
    // This ensures a decision even if the policy does not decide in time.
    timers.schedule(timeoutMicros, () -> deliverDecision(id, Decision.UNDECIDED, 0));
    long deadlineAtMicros = clock.nowMicros() + timeoutMicros;
    submit(
        new RequestArrived(
            id, requestClass, plan, customer, deadlineAtMicros, units, instanceCount, 0, false));
    return id;
  }

  /** Cancels a request: no decision is delivered, and nothing is charged. */
  public void cancel(long id) {
    if (pendingListeners.remove(id) != null) {
      submit(new ClientDisconnected(id));
    }
    refund(id);
  }

  /** Ends an allowed request whose work is done; its units stay charged. */
  public void commit(long id, double units) {
    settle(id, units);
  }

  /** Ends an allowed request whose work is not done; its units are refunded. */
  public void refund(long id) {
    settle(id, REFUNDED_UNITS);
  }

  private void settle(long id, double units) {
    String endpointId = allowedEndpointIds.remove(id);
    if (endpointId != null) {
      submit(
          new AttemptCompleted(id, 0, endpointId, 1, CallResult.OK, true, units, LoadReport.NONE));
    }
  }

  private void deliverDecision(long id, Decision decision, long retryAfterMicros) {
    DecisionListener listener = pendingListeners.remove(id);
    if (listener != null) {
      listener.onDecision(decision, retryAfterMicros);
    }
  }

  private void submit(PolicyEvent event) {
    eventQueue.submit(event);
  }

  private void execute(PolicyAction action) {
    if (action instanceof StartAttempt start) {
      allowedEndpointIds.put(start.requestId(), start.endpointId());
      if (pendingListeners.containsKey(start.requestId())) {
        deliverDecision(start.requestId(), Decision.ALLOWED, 0);
      } else {
        refund(start.requestId());
      }
    } else if (action instanceof RejectRequest rejection) {
      deliverDecision(rejection.requestId(), Decision.REJECTED, rejection.retryAfterMicros());
    } else if (action instanceof FailRequest failure) {
      deliverDecision(failure.requestId(), Decision.UNDECIDED, 0);
    } else if (action instanceof AddToCounter addition) {
      counterClient.add(addition);
    } else if (action instanceof ScheduleTimer schedule) {
      timers.schedule(schedule.delayMicros(), () -> submit(new TimerFired(schedule.timer())));
    }
  }

  /** Closes the counter connections and the timers. Closing it again has no effect. */
  @Override
  public void close() {
    counterClient.close();
    timers.close();
  }
}
