package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests what a gateway still holds of requests that have ended. */
class EndedRequestsTest {
  private static final int REQUESTS = 300;

  /** Timers of the gateway itself: checks of connections, activity, watches. */
  private static final int MAX_OWN_TIMERS = 30;

  private static int pendingTimers(PlatformHarness harness) {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    harness
        .process
        .context()
        .runOnContext(
            v -> count.complete(harness.process.gateway().runner().timers().pendingCount()));
    return count.orTimeout(20, TimeUnit.SECONDS).join();
  }

  /**
   * Guards against timers that stay until the end of each client's wait, however soon its request
   * was answered: with long waits they filled the heap.
   */
  @Test
  void answeredRequestsWithLongWaits_leaveNoTimers() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < REQUESTS; i++) {
        String[] command = harness.newRequest("look");
        command[3] = command[3].replace("d=1500", "d=600000");
        client.call(command);
      }
      int timers = pendingTimers(harness);
      assertTrue(timers <= MAX_OWN_TIMERS, timers + " timers are pending");
    }
  }
}
