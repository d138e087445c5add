package fawndock.policy.deadline;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a request waits, and when it is answered at the latest. */
class DeadlinesTest {
  @Test
  void queueTimeout_requestIsRejected() {
    PolicyHarness none =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    none.request(1);
    none.nowMicros += PolicyHarness.SECOND_MICROS / 4;
    assertEquals(
        1,
        allOf(RejectRequest.class, none.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))))
            .size());
  }

  @Test
  void waitingOrInFlight_requestIsNotAnsweredEarly() {
    PolicyHarness none =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    assertTrue(allOf(RejectRequest.class, none.request(1)).isEmpty());
    PolicyHarness out =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false),
            "a");
    single(StartAttempt.class, out.request(1));
    out.nowMicros += PolicyHarness.SECOND_MICROS;
    List<PolicyAction> late =
        out.onEvent(new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(1)));
    assertTrue(
        allOf(RejectRequest.class, late).isEmpty() && allOf(FailRequest.class, late).isEmpty());
  }

  @Test
  void answerDeadline_requestInFlightFailsOnce() {
    PolicyHarness harness = gateway(Idempotency.AT_MOST_ONCE, "a");
    harness.request(1);
    harness.nowMicros += 3 * PolicyHarness.SECOND_MICROS;
    single(FailRequest.class, harness.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))));
    assertTrue(harness.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  @Test
  void withoutEndpoints_requestWaitsAndIsThenRejected() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT);
    assertTrue(allOf(RejectRequest.class, harness.request(1)).isEmpty());
    harness.nowMicros += PolicyHarness.SECOND_MICROS;
    single(RejectRequest.class, harness.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  private static PolicyHarness gateway(Idempotency repeat, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), repeat, false, false), endpoints);
  }
}
