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
  private final GatewayPolicy gatekeeper;
  private final MicroClock clock;
  private final Consumer<PolicyAction> carryOut;
  private final Logger log;
  private final ArrayDeque<PolicyEvent> inbox = new ArrayDeque<>();
  private boolean telling;

  /** Decisions that are carried out by the consumer given. */
  public PolicyEventQueue(
      GatewayPolicy gatekeeper, MicroClock clock, Consumer<PolicyAction> carryOut, Logger log) {
    this.gatekeeper = gatekeeper;
    this.clock = clock;
    this.carryOut = carryOut;
    this.log = log;
  }

  /** Tells an event, now or after what is being told. */
  public void submit(PolicyEvent event) {
    inbox.add(event);
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (PolicyEvent next = inbox.poll(); next != null; next = inbox.poll()) {
        decide(next);
      }
    } finally {
      telling = false;
    }
  }

  private void decide(PolicyEvent event) {
    try {
      gatekeeper.onEvent(clock.now(), event).forEach(carryOut);
    } catch (RuntimeException | StackOverflowError e) {
      // The requests it concerns are answered by the host's backstop.
      log.error("the decision on {} failed", event, e);
    }
  }
}
