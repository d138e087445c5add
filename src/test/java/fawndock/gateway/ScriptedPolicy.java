package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/** A gatekeeper that does what a test says and remembers what it was told. */
final class ScriptedPolicy implements GatewayPolicy {
  private final List<PolicyEvent> events = new ArrayList<>();
  private volatile BiFunction<Long, PolicyEvent, List<PolicyAction>> script =
      ScriptedPolicy::forwardOnce;

  /** Sends each request to the server "w" once, and fails it when that did not serve it. */
  static List<PolicyAction> forwardOnce(long now, PolicyEvent event) {
    if (event instanceof RequestArrived r) {
      return List.of(new StartAttempt(r.requestId(), "w", r.deadlineAtMicros()));
    }
    if (event instanceof AttemptCompleted o && !o.isFinal()) {
      return List.of(new FailRequest(o.requestId()));
    }
    return List.of();
  }

  ScriptedPolicy respondWith(BiFunction<Long, PolicyEvent, List<PolicyAction>> what) {
    script = what;
    return this;
  }

  @Override
  public List<PolicyAction> onEvent(long nowMicros, PolicyEvent event) {
    List<PolicyAction> actions = script.apply(nowMicros, event);
    synchronized (events) {
      events.add(event);
      events.notifyAll();
    }
    return actions;
  }

  synchronized <T extends PolicyEvent> List<T> all(Class<T> type) {
    synchronized (events) {
      return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
  }

  /** Waits for an event that is already there or still comes. */
  <T extends PolicyEvent> T await(Class<T> type, Predicate<T> which) {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    synchronized (events) {
      while (true) {
        for (PolicyEvent e : events) {
          if (type.isInstance(e) && which.test(type.cast(e))) {
            return type.cast(e);
          }
        }
        long left = limit - System.nanoTime();
        if (left <= 0) {
          throw new AssertionError(
              "never told such a " + type.getSimpleName() + "; told: " + events);
        }
        try {
          TimeUnit.NANOSECONDS.timedWait(events, left);
        } catch (InterruptedException e) {
          throw new AssertionError(e);
        }
      }
    }
  }

  <T extends PolicyEvent> T await(Class<T> type) {
    return await(type, e -> true);
  }
}
