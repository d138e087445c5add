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
public final class QuotaHost {
  /** How a question ended. */
  public enum Verdict {
    ALLOWED,
    REFUSED,
    UNDECIDED
  }

  /**
   * Told once, unless the question was left before: the verdict, and for a refusal how long to stay
   * away.
   */
  public interface Answer {
    void told(Verdict verdict, long retryAfterMicros);
  }

  private static final Logger LOG = LoggerFactory.getLogger(QuotaHost.class);
  private static final int CALLERS = 64;
  private static final long ROUND_MICROS = 5_000;

  /**
   * Units that a question which is taken back is settled with: none, as nearly as the decisions can
   * be told.
   */
  private static final double NOTHING = 1e-9;

  private final MicroClock clock = new MicroClock();
  private final Timers alarms;
  private final CounterLink counter;
  private final PolicyEventQueue decisions;
  private final int fleet;
  private final Map<Long, Answer> asked = new HashMap<>();
  private final Map<Long, String> allowed = new HashMap<>();
  private long nextId = 1;

  /**
   * Connects to the counter; on the context given.
   *
   * @param me its number in the fleet
   */
  public QuotaHost(
      Vertx vertx,
      Context context,
      GatewaySettings settings,
      int me,
      Function<PolicyConfig, GatewayPolicy> maker) {
    alarms = new Timers(vertx);
    fleet = settings.fleet();
    decisions =
        new PolicyEventQueue(
            maker.apply(
                new PolicyConfig(
                    me,
                    fleet,
                    settings.seed() + me,
                    ROUND_MICROS,
                    "",
                    false,
                    settings.classes(),
                    settings.plans(),
                    settings.limits(),
                    settings.rules(),
                    new CounterConfig(
                        !settings.counter().none(), settings.counter().timeoutMicros(), true))),
            clock,
            this::carryOut,
            LOG);
    counter = new CounterLink(vertx, context, settings.counter(), clock, alarms, this::tell);
    List<Endpoint> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new Endpoint("caller-" + i, "", 0, EndpointState.RUNNING, 1, 0));
    }
    tell(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, callers));
  }

  /**
   * Asks whether a customer may do so much now. What is allowed counts from then on, and is to be
   * ended by {@link #keep} or {@link #takeBack}.
   *
   * @param withinMicros in which the caller wants to know
   * @return the question's number
   */
  public long ask(
      String requestClass,
      String plan,
      String customer,
      double units,
      long withinMicros,
      Answer answer) {
    long id = nextId++;
    asked.put(id, answer);
    // Guards against decisions that failed to answer: the caller is told in time all the same.
    alarms.schedule(withinMicros, () -> end(id, Verdict.UNDECIDED, 0));
    tell(
        new RequestArrived(
            id, requestClass, plan, customer, clock.now() + withinMicros, units, fleet, 0, false));
    return id;
  }

  /** The caller does not want to know any more. */
  public void leave(long id) {
    if (asked.remove(id) != null) {
      tell(new ClientDisconnected(id));
    }
    takeBack(id);
  }

  /** What was allowed is done. */
  public void keep(long id, double units) {
    settle(id, units);
  }

  /** What was allowed is not done: its units are given back. */
  public void takeBack(long id) {
    settle(id, NOTHING);
  }

  private void settle(long id, double units) {
    String caller = allowed.remove(id);
    if (caller != null) {
      tell(
          new AttemptCompleted(
              id, 0, caller, 1, CallResult.OK, true, units, fawndock.policy.event.LoadReport.NONE));
    }
  }

  private void end(long id, Verdict verdict, long retryAfter) {
    Answer answer = asked.remove(id);
    if (answer != null) {
      answer.told(verdict, retryAfter);
    }
  }

  private void tell(PolicyEvent event) {
    decisions.submit(event);
  }

  private void carryOut(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      allowed.put(a.requestId(), a.endpointId());
      if (asked.containsKey(a.requestId())) {
        end(a.requestId(), Verdict.ALLOWED, 0);
      } else {
        takeBack(a.requestId());
      }
    } else if (action instanceof RejectRequest a) {
      end(a.requestId(), Verdict.REFUSED, a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      end(a.requestId(), Verdict.UNDECIDED, 0);
    } else if (action instanceof AddToCounter a) {
      counter.count(a);
    } else if (action instanceof ScheduleTimer a) {
      alarms.schedule(a.delayMicros(), () -> tell(new TimerFired(a.timer())));
    }
  }

  /** Closes its connections. */
  public void close() {
    counter.close();
    alarms.close();
  }
}
