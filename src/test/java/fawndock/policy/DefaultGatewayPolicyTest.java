package fawndock.policy;

import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import org.junit.jupiter.api.Test;

/** Tests events that change nothing. */
class DefaultGatewayPolicyTest {
  @Test
  void unknownEvents_areIgnored() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a");
    String endpointId = single(StartAttempt.class, harness.request(1)).endpointId();
    harness.completeAttempt(1, 0, endpointId, CallResult.OK, true);
    assertTrue(harness.completeAttempt(1, 0, endpointId, CallResult.OK, true).isEmpty());
    assertTrue(harness.completeAttempt(1, 7, endpointId, CallResult.OK, true).isEmpty());
    assertTrue(harness.onEvent(new ClientDisconnected(99)).isEmpty());
    assertTrue(
        harness.onEvent(new TimerFired(new PolicyTimer.UnknownTimer("what is this"))).isEmpty());
    assertTrue(harness.onEvent(new TimerFired(new PolicyTimer.UnknownTimer("end:x"))).isEmpty());
    assertTrue(harness.onEvent(new CounterReply("nothing", CallResult.OK, 1, 1)).isEmpty());
    assertTrue(harness.onEvent(new PeerMessageReceived(3, "hello")).isEmpty());
  }

  @Test
  void startedStream_isNotFailedAtTheDeadline() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b");
    String endpointId = single(StartAttempt.class, harness.request(1)).endpointId();
    harness.onEvent(new ResponseStarted(1, 0, endpointId));
    harness.nowMicros += 3 * PolicyHarness.SECOND_MICROS;
    assertTrue(harness.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
