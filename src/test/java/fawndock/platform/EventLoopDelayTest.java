package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.event.RequestArrived;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The event loop is held up among its reads: what came meanwhile, in time, is read before the
 * timers that have fallen due.
 */
class EventLoopDelayTest {
  private static final long HELD_UP_CUSTOMER = 9;
  private static final long DEADLINE_MILLIS = 1_500; // As FakePlatform.requestCommand says.

  /** A policy that is held up by a request of one customer until the latch is counted down. */
  private static GatewayPolicy heldUpBy(
      GatewayPolicy policy, CountDownLatch heldUp, CountDownLatch release) {
    return (nowMicros, event) -> {
      if (event instanceof RequestArrived arrived
          && arrived.customer().equals(String.format("%016x", HELD_UP_CUSTOMER))) {
        heldUp.countDown();
        Await.latch(release);
      }
      return policy.onEvent(nowMicros, event);
    };
  }

  @Test
  void responseThatCameInTime_isServedAlthoughTheDeadlineHasPassedMeanwhile() throws Exception {
    CountDownLatch respond = new CountDownLatch(1);
    CountDownLatch heldUp = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          respond.await();
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness =
            new PlatformHarness(
                backend,
                FakeRespServer.counterHandler(),
                256,
                config -> heldUpBy(new DefaultGatewayPolicy(config), heldUp, release));
        RespClient client = harness.connectClient();
        RespClient other = harness.connectClient()) {
      String[] command = harness.newRequest("look");
      client.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      other.send(
          RespClient.encodeCommand(
              FakePlatform.requestCommand("look", "large", HELD_UP_CUSTOMER, 1 << 20, "")));
      assertTrue(heldUp.await(20, TimeUnit.SECONDS));
      respond.countDown();
      Thread.sleep(DEADLINE_MILLIS); // The time that is to pass.
      release.countDown();
      assertEquals("value of " + command[2], client.readReply());
    }
  }
}
