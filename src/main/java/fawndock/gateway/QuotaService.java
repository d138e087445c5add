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
 * Asks the decisions about quotas alone, for work that somebody else does: an attempt is the
 * caller's own. The decisions are an instance of their own with servers that stand for the callers,
 * so that no flood of questions takes room from requests that are passed on; the counts are the
 * same, by the same names on the same counter. One context.
 */
public final class QuotaService {
  /** How a question ended. */
  public enum Decision {
    ALLOWED,
    REJECTED,
    UNDECIDED
  }

  /**
   * Told once, unless the question was left before: the verdict, and for a refusal how long to stay
   * away.
   */
  public interface DecisionListener {
    void onDecision(Decision verdict, long retryAfterMicros);
  }

  private static final Logger LOG = LoggerFactory.getLogger(QuotaService.class);
  private static final int CALLER_COUNT = 64;
  private static final long TIMER_RESOLUTION_MICROS = 5_000;

  /**
   * Units that a question which is taken back is settled with: none, as nearly as the decisions can
   * be told.
   */
  private static final double REFUNDED_UNITS = 1e-9;

  private final MicroClock clock = new MicroClock();
  private final Timers timers;
  private final CounterClient counter;
  private final PolicyEventQueue eventQueue;
  private final int instanceCount;
  private final Map<Long, DecisionListener> undecided = new HashMap<>();
  private final Map<Long, String> allowed = new HashMap<>();
  private long nextId = 1;

  /**
   * Connects to the counter; on the context given.
   *
   * @param me its number in the fleet
   */
  public QuotaService(
      Vertx vertx,
      Context context,
      GatewaySettings settings,
      int me,
      Function<PolicyConfig, GatewayPolicy> maker) {
    timers = new Timers(vertx);
    instanceCount = settings.fleetSize();
    eventQueue =
        new PolicyEventQueue(
            maker.apply(
                new PolicyConfig(
                    me,
                    instanceCount,
                    settings.seed() + me,
                    TIMER_RESOLUTION_MICROS,
                    "",
                    false,
                    settings.classes(),
                    settings.plans(),
                    settings.limits(),
                    settings.rules(),
                    new CounterConfig(
                        !settings.counter().isAbsent(), settings.counter().timeoutMicros(), true))),
            clock,
            this::execute,
            LOG);
    counter = new CounterClient(vertx, context, settings.counter(), clock, timers, this::submit);
    List<Endpoint> callers = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      callers.add(new Endpoint("caller-" + i, "", 0, EndpointState.RUNNING, 1, 0));
    }
    submit(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, callers));
  }

  /**
   * Asks whether a customer may do so much now. What is allowed counts from then on, and is to be
   * ended by {@link #keep} or {@link #takeBack}.
   *
   * @param withinMicros in which the caller wants to know
   * @return the question's number
   */
  public long request(
      String requestClass,
      String plan,
      String customer,
      double units,
      long withinMicros,
      DecisionListener answer) {
    long id = nextId++;
    undecided.put(id, answer);
    // Guards against decisions that failed to answer: the caller is told in time all the same.
    timers.schedule(withinMicros, () -> decide(id, Decision.UNDECIDED, 0));
    submit(
        new RequestArrived(
            id,
            requestClass,
            plan,
            customer,
            clock.now() + withinMicros,
            units,
            instanceCount,
            0,
            false));
    return id;
  }

  /** The caller does not want to know any more. */
  public void cancel(long id) {
    if (undecided.remove(id) != null) {
      submit(new ClientDisconnected(id));
    }
    refund(id);
  }

  /** What was allowed is done. */
  public void commit(long id, double units) {
    settle(id, units);
  }

  /** What was allowed is not done: its units are given back. */
  public void refund(long id) {
    settle(id, REFUNDED_UNITS);
  }

  private void settle(long id, double units) {
    String caller = allowed.remove(id);
    if (caller != null) {
      submit(new AttemptCompleted(id, 0, caller, 1, CallResult.OK, true, units, Map.of()));
    }
  }

  private void decide(long id, Decision verdict, long retryAfter) {
    DecisionListener answer = undecided.remove(id);
    if (answer != null) {
      answer.onDecision(verdict, retryAfter);
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
      counter.add(a);
    } else if (action instanceof ScheduleTimer a) {
      timers.schedule(a.delayMicros(), () -> submit(new TimerFired(a.timer())));
    }
  }

  /** Closes its connections. */
  public void close() {
    counter.close();
    timers.close();
  }
}
