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

/**
 * A policy whose actions are scripted by a test; it records all events. Methods may be called from
 * any thread.
 */
final class ScriptedPolicy implements GatewayPolicy {
  private final List<PolicyEvent> events = new ArrayList<>();
  private volatile BiFunction<Long, PolicyEvent, List<PolicyAction>> script =
      ScriptedPolicy::forwardOnce;

  /**
   * Starts one attempt at the endpoint "w" for each request, and fails the request if the attempt
   * fails.
   */
  static List<PolicyAction> forwardOnce(long nowMicros, PolicyEvent event) {
    if (event instanceof RequestArrived arrived) {
      return List.of(new StartAttempt(arrived.requestId(), "w", arrived.deadlineAtMicros()));
    }
    if (event instanceof AttemptCompleted completed && !completed.isFinal()) {
      return List.of(new FailRequest(completed.requestId()));
    }
    return List.of();
  }

  /** Replaces the script that returns the actions for each event. */
  ScriptedPolicy respondWith(BiFunction<Long, PolicyEvent, List<PolicyAction>> newScript) {
    script = newScript;
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

  /** Returns the recorded events of a type. */
  synchronized <T extends PolicyEvent> List<T> eventsOf(Class<T> type) {
    synchronized (events) {
      return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
  }

  /** Returns the first recorded event that matches; waits for one for up to 20 s. */
  <T extends PolicyEvent> T await(Class<T> type, Predicate<T> predicate) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    synchronized (events) {
      while (true) {
        for (PolicyEvent event : events) {
          if (type.isInstance(event) && predicate.test(type.cast(event))) {
            return type.cast(event);
          }
        }
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
          throw new AssertionError(
              "no matching " + type.getSimpleName() + " among the events: " + events);
        }
        try {
          TimeUnit.NANOSECONDS.timedWait(events, remainingNanos);
        } catch (InterruptedException exception) {
          throw new AssertionError(exception);
        }
      }
    }
  }

  /** Returns the first recorded event of a type; waits for one for up to 20 s. */
  <T extends PolicyEvent> T await(Class<T> type) {
    return await(type, event -> true);
  }
}
