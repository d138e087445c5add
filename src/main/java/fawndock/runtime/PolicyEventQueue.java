package fawndock.runtime;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.event.PolicyEvent;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Passes events to a policy in order and has its actions executed. Events that are submitted while
 * an action is executed are queued, so that the policy is never called recursively. Confined to one
 * event loop.
 */
public final class PolicyEventQueue {
  private final GatewayPolicy policy;
  private final MicroClock clock;
  private final Consumer<PolicyAction> actionExecutor;
  private final Logger log;
  private final ArrayDeque<PolicyEvent> pendingEvents = new ArrayDeque<>();
  private boolean isDispatching;

  /**
   * Creates an empty queue.
   *
   * @param actionExecutor executes each action that the policy returns
   * @param log logger for exceptions of the policy and of the executor
   */
  public PolicyEventQueue(
      GatewayPolicy policy, MicroClock clock, Consumer<PolicyAction> actionExecutor, Logger log) {
    this.policy = policy;
    this.clock = clock;
    this.actionExecutor = actionExecutor;
    this.log = log;
  }

  /** Dispatches an event now, or after the event that is being dispatched. */
  public void submit(PolicyEvent event) {
    pendingEvents.add(event);
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    try {
      for (PolicyEvent next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
        dispatch(next);
      }
    } finally {
      isDispatching = false;
    }
  }

  private void dispatch(PolicyEvent event) {
    try {
      policy.onEvent(clock.nowMicros(), event).forEach(actionExecutor);
    } catch (RuntimeException | StackOverflowError e) {
      // An exception for one event must not stop the event loop. The affected requests get their
      // responses when their deadline timers fire.
      log.error("policy failed, event={}", event, e);
    }
  }
}
