package fawndock.policy.retry;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which requests may be sent again, and to which endpoints. */
class IdempotencyRulesTest {
  @Test
  void atMostOnceThatMayHaveTakenEffect_failsAndIsNotSentAgain() {
    PolicyHarness harness = gateway(Idempotency.AT_MOST_ONCE, "a", "b");
    String endpointId = single(StartAttempt.class, harness.request(1)).endpointId();
    List<PolicyAction> actions = harness.completeAttempt(1, 0, endpointId, CallResult.RESET, false);
    single(FailRequest.class, actions);
    assertTrue(allOf(StartAttempt.class, actions).isEmpty());
  }

  @Test
  void atMostOnceWithoutEffect_isSentToAnotherEndpoint() {
    PolicyHarness harness = gateway(Idempotency.AT_MOST_ONCE, "a", "b");
    String endpointId = single(StartAttempt.class, harness.request(1)).endpointId();
    assertNotEquals(
        endpointId,
        single(
                StartAttempt.class,
                harness.completeAttempt(1, 0, endpointId, CallResult.SHED, false))
            .endpointId());
  }

  @Test
  void deduplicated_isSentAgainWithinItsWindowOnly() {
    PolicyHarness harness = gateway(Idempotency.DEDUPLICATED, "a", "b", "c");
    String first = single(StartAttempt.class, harness.request(1)).endpointId();
    harness.nowMicros += 100_000;
    single(StartAttempt.class, harness.completeAttempt(1, 0, first, CallResult.ERROR, false));
    String other = single(StartAttempt.class, harness.request(2)).endpointId();
    harness.nowMicros += PolicyHarness.SECOND_MICROS;
    List<PolicyAction> lateActions = harness.completeAttempt(2, 0, other, CallResult.ERROR, false);
    assertTrue(allOf(StartAttempt.class, lateActions).isEmpty());
    single(RejectRequest.class, lateActions);
  }

  /**
   * Guards against a retry that waits for its connection until endpoints no longer discard it: the
   * deadline counts from the first attempt that may have taken effect, less a margin.
   */
  @Test
  void retryOfDeduplicated_mayBeSentUntilItsWindowEnds() {
    PolicyHarness harness = gateway(Idempotency.DEDUPLICATED, "a", "b", "c");
    long windowMicros = PolicyHarness.SECOND_MICROS;
    StartAttempt first = single(StartAttempt.class, harness.request(1));
    assertEquals(StartAttempt.NO_SEND_DEADLINE, first.sendDeadlineAtMicros());
    harness.nowMicros += 100_000;
    long secondStartedAtMicros = harness.nowMicros;
    StartAttempt second =
        single(
            StartAttempt.class,
            harness.completeAttempt(1, 0, first.endpointId(), CallResult.SHED, false));
    assertEquals(StartAttempt.NO_SEND_DEADLINE, second.sendDeadlineAtMicros());
    harness.nowMicros += 100_000;
    StartAttempt third =
        single(
            StartAttempt.class,
            harness.completeAttempt(1, 1, second.endpointId(), CallResult.ERROR, false));
    assertEquals(secondStartedAtMicros + windowMicros - 4_000, third.sendDeadlineAtMicros());
  }

  @Test
  void retryOfIdempotent_mayBeSentAtAnyTime() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b");
    StartAttempt first = single(StartAttempt.class, harness.request(1));
    StartAttempt second =
        single(
            StartAttempt.class,
            harness.completeAttempt(1, 0, first.endpointId(), CallResult.ERROR, false));
    assertEquals(StartAttempt.NO_SEND_DEADLINE, second.sendDeadlineAtMicros());
  }

  @Test
  void deduplicatedInZone_isNotSentToAnotherZone() {
    PolicyConfig base =
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), Idempotency.DEDUPLICATED, false, false);
    RequestClass requestClass = base.requestClasses().get(0);
    PolicyHarness harness =
        new PolicyHarness(
            new PolicyConfig(
                0,
                2,
                7,
                2_000,
                "here",
                false,
                List.of(
                    new RequestClass(
                        requestClass.name(),
                        requestClass.latencyObjectiveMicros(),
                        0,
                        requestClass.deadlineMicros(),
                        1,
                        0,
                        requestClass.idempotency(),
                        DeduplicationScope.ZONE,
                        requestClass.deduplicationWindowMicros(),
                        false)),
                base.plans(),
                base.limits(),
                base.rules(),
                base.counter()),
            "a");
    single(StartAttempt.class, harness.request(1));
    harness.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(new Endpoint("b", "there", 0, EndpointState.RUNNING, 1, 0))));
    List<PolicyAction> actions = harness.completeAttempt(1, 0, "a", CallResult.ERROR, false);
    assertTrue(allOf(StartAttempt.class, actions).isEmpty(), "endpoint b is in another zone");
    harness.nowMicros += PolicyHarness.SECOND_MICROS / 2;
    single(FailRequest.class, harness.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
