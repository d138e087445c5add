package fawndock.host;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Event;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Tells a gatekeeper what happened, in order, and has carried out what it says. What is told while
 * an action is carried out waits its turn, so the gatekeeper never calls itself. One context.
 */
public final class Decisions {
  private final Gatekeeper gatekeeper;
  private final MicroClock clock;
  private final Consumer<Action> carryOut;
  private final Logger log;
  private final ArrayDeque<Event> inbox = new ArrayDeque<>();
  private boolean telling;

  /** Decisions that are carried out by the consumer given. */
  public Decisions(Gatekeeper gatekeeper, MicroClock clock, Consumer<Action> carryOut, Logger log) {
    this.gatekeeper = gatekeeper;
    this.clock = clock;
    this.carryOut = carryOut;
    this.log = log;
  }

  /** Tells an event, now or after what is being told. */
  public void tell(Event event) {
    inbox.add(event);
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (Event next = inbox.poll(); next != null; next = inbox.poll()) {
        decide(next);
      }
    } finally {
      telling = false;
    }
  }

  private void decide(Event event) {
    try {
      gatekeeper.on(clock.now(), event).forEach(carryOut);
    } catch (RuntimeException | StackOverflowError e) {
      // The requests it concerns are answered by the host's backstop.
      log.error("the decision on {} failed", event, e);
    }
  }
}
