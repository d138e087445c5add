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
 * Tests that after a delay of the event loop, bytes that arrived in time are read before expired
 * timers run.
 */
class EventLoopDelayTest {
  private static final long BLOCKING_CUSTOMER = 9;
  private static final long DEADLINE_MILLIS = 1_500; // The timeout in FakePlatform.requestCommand.

  /**
   * Returns a policy that blocks on the requests of one customer until {@code releaseEventLoop} is
   * counted down.
   */
  private static GatewayPolicy blockingPolicy(
      GatewayPolicy policy, CountDownLatch eventLoopBlocked, CountDownLatch releaseEventLoop) {
    return (nowMicros, event) -> {
      if (event instanceof RequestArrived arrived
          && arrived.customer().equals(String.format("%016x", BLOCKING_CUSTOMER))) {
        eventLoopBlocked.countDown();
        Await.latch(releaseEventLoop);
      }
      return policy.onEvent(nowMicros, event);
    };
  }

  @Test
  void responseReceivedInTime_isServedEvenIfDeadlineHasPassedMeanwhile() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    CountDownLatch eventLoopBlocked = new CountDownLatch(1);
    CountDownLatch releaseEventLoop = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          releaseBackend.await();
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness =
            new PlatformHarness(
                backend,
                FakeRespServer.counterHandler(),
                256,
                config ->
                    blockingPolicy(
                        new DefaultGatewayPolicy(config), eventLoopBlocked, releaseEventLoop));
        RespClient client = harness.connectClient();
        RespClient blockingClient = harness.connectClient()) {
      String[] command = harness.newRequest("look");
      client.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      blockingClient.send(
          RespClient.encodeCommand(
              FakePlatform.requestCommand("look", "large", BLOCKING_CUSTOMER, 1 << 20, "")));
      assertTrue(eventLoopBlocked.await(20, TimeUnit.SECONDS));
      releaseBackend.countDown();
      Thread.sleep(DEADLINE_MILLIS); // Lets the deadline pass.
      releaseEventLoop.countDown();
      assertEquals("value of " + command[2], client.readReply());
    }
  }
}
