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

/** Tests how long a request waits, and when it is answered at the latest. */
class DeadlinesTest {
  @Test
  void queueTimeout_requestIsRejected() {
    PolicyHarness withoutEndpoints =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    withoutEndpoints.request(1);
    withoutEndpoints.nowMicros += PolicyHarness.SECOND_MICROS / 4;
    assertEquals(
        1,
        allOf(
                RejectRequest.class,
                withoutEndpoints.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))))
            .size());
  }

  @Test
  void waitingOrInFlight_requestIsNotAnsweredEarly() {
    PolicyHarness withoutEndpoints =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    assertTrue(allOf(RejectRequest.class, withoutEndpoints.request(1)).isEmpty());
    PolicyHarness withEndpoint =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false),
            "a");
    single(StartAttempt.class, withEndpoint.request(1));
    withEndpoint.nowMicros += PolicyHarness.SECOND_MICROS;
    List<PolicyAction> actions =
        withEndpoint.onEvent(new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(1)));
    assertTrue(
        allOf(RejectRequest.class, actions).isEmpty()
            && allOf(FailRequest.class, actions).isEmpty());
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

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
