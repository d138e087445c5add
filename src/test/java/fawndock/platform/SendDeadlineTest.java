package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests that an attempt whose connection comes up after its send deadline is not sent. */
class SendDeadlineTest {
  private static final long CONNECT_DELAY_MILLIS = 100;
  private static final long PASSED_SEND_DEADLINE_MICROS = 50_000;
  private static final long LATER_SEND_DEADLINE_MICROS = 10_000_000;

  private final AtomicBoolean isDelayed = new AtomicBoolean();

  /**
   * Sets a send deadline in all attempts and, while {@code isDelayed}, blocks the event loop after
   * the decision, so that the connection is available later.
   */
  private GatewayPolicy withSendDeadline(GatewayPolicy policy, long sendDeadlineMicros) {
    return (nowMicros, event) -> {
      List<PolicyAction> actions = new ArrayList<>(policy.onEvent(nowMicros, event));
      for (int i = 0; i < actions.size(); i++) {
        if (isDelayed.get() && actions.get(i) instanceof StartAttempt attempt) {
          delayConnection();
          actions.set(
              i,
              new StartAttempt(
                  attempt.requestId(),
                  attempt.endpointId(),
                  attempt.deadlineAtMicros(),
                  nowMicros + sendDeadlineMicros));
        }
      }
      return actions;
    };
  }

  private static void delayConnection() {
    try {
      Thread.sleep(CONNECT_DELAY_MILLIS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private PlatformHarness startGateway(long sendDeadlineMicros) throws Exception {
    PlatformHarness harness =
        new PlatformHarness(
            FakeRespServer.backendHandler(),
            FakeRespServer.counterHandler(),
            256,
            config -> withSendDeadline(new DefaultGatewayPolicy(config), sendDeadlineMicros));
    isDelayed.set(true);
    return harness;
  }

  /** Guards against a retry that runs again because its connection came up after its window. */
  @Test
  void connectionAfterTheSendDeadline_isNotUsed() throws Exception {
    try (PlatformHarness harness = startGateway(PASSED_SEND_DEADLINE_MICROS);
        RespClient client = harness.connectClient()) {
      String response = client.call(harness.newRequest("note"));
      assertTrue(response.startsWith("-"), response);
      assertEquals(0, harness.platform.backend.commandCount());
    }
  }

  @Test
  void connectionBeforeTheSendDeadline_isUsed() throws Exception {
    try (PlatformHarness harness = startGateway(LATER_SEND_DEADLINE_MICROS);
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest("note");
      assertEquals("value of " + command[2], client.call(command));
    }
  }
}
