package fawndock.runtime;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.event.PolicyEvent;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Tells a gatekeeper what happened, in order, and has carried out what it says. What is told while
 * an action is carried out waits its turn, so the gatekeeper never calls itself. One context.
 */
public final class PolicyEventQueue {
  private final GatewayPolicy policy;
  private final MicroClock clock;
  private final Consumer<PolicyAction> executor;
  private final Logger log;
  private final ArrayDeque<PolicyEvent> pendingEvents = new ArrayDeque<>();
  private boolean isDispatching;

  /** Decisions that are carried out by the consumer given. */
  public PolicyEventQueue(
      GatewayPolicy gatekeeper, MicroClock clock, Consumer<PolicyAction> carryOut, Logger log) {
    this.policy = gatekeeper;
    this.clock = clock;
    this.executor = carryOut;
    this.log = log;
  }

  /** Tells an event, now or after what is being told. */
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
      policy.onEvent(clock.now(), event).forEach(executor);
    } catch (RuntimeException | StackOverflowError e) {
      // The requests it concerns are answered by the host's backstop.
      log.error("the decision on {} failed", event, e);
    }
  }
}
