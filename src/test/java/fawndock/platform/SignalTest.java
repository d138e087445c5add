package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests signals and reloads, partly with a gateway in a separate process. */
class SignalTest {
  /** Starts a gateway with SIGHUP ignored, as nohup and some supervisors do. */
  private static Process startWithHangupIgnored(FakePlatform platform) throws IOException {
    return GatewayProcess.start(platform, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
  }

  private static void sendSignal(String name, Process process) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /**
   * A gateway that missed the reload would keep using the former discovery address and miss
   * draining endpoints.
   */
  @Test
  void reload_takesEffectAlthoughTheParentProcessIgnoresTheSignal() throws Exception {
    try (FakePlatform platform =
            new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        FakeDiscoveryServer newDiscovery =
            new FakeDiscoveryServer(
                FakeDiscoveryServer.endpointListJson(
                    9, true, "w1", "127.0.0.1:" + platform.backend.port(), "ready"))) {
      Process process = startWithHangupIgnored(platform);
      try {
        Await.until(() -> platform.discovery.watchCount() > 0);
        platform.writeConfiguration(newDiscovery.port(), platform.counter.port());
        sendSignal("HUP", process);
        Await.until(() -> newDiscovery.watchCount() > 0);
        Await.until(() -> isServed(platform));
        sendSignal("TERM", process);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /**
   * A gateway that is reloaded during its warm-up uses the new discovery address from the start.
   */
  @Test
  void reload_duringTheWarmUp_isNotLost() throws Exception {
    try (FakePlatform platform =
            new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        FakeDiscoveryServer newDiscovery =
            new FakeDiscoveryServer(
                FakeDiscoveryServer.endpointListJson(
                    9, true, "w1", "127.0.0.1:" + platform.backend.port(), "ready"))) {
      PlatformProcess process = new PlatformProcess(platform.environment());
      CountDownLatch warmUpStarted = new CountDownLatch(1);
      CountDownLatch reloadFinished = new CountDownLatch(1);
      CompletableFuture<Integer> exitCode =
          CompletableFuture.supplyAsync(() -> runUntilExit(process, warmUpStarted, reloadFinished));
      assertTrue(warmUpStarted.await(20, TimeUnit.SECONDS));
      platform.writeConfiguration(newDiscovery.port(), platform.counter.port());
      process.reload();
      assertNull(process.gateway(), "the reload came after the warm-up");
      reloadFinished.countDown();
      assertTrue(process.awaitReady(30, TimeUnit.SECONDS));
      Await.until(() -> newDiscovery.watchCount() > 0);
      assertEquals(0, platform.discovery.acceptedConnectionCount());
      process.stop();
      assertEquals(0, exitCode.get(20, TimeUnit.SECONDS));
    }
  }

  /**
   * Runs a process whose warm-up blocks, when it creates the first policy, until {@code
   * reloadFinished} is counted down.
   */
  private static int runUntilExit(
      PlatformProcess process, CountDownLatch warmUpStarted, CountDownLatch reloadFinished) {
    try {
      return process.run(
          config -> {
            warmUpStarted.countDown();
            Await.latch(reloadFinished);
            return new DefaultGatewayPolicy(config);
          });
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean isServed(FakePlatform platform) {
    String[] command = FakePlatform.requestCommand("look", "large", 7, System.nanoTime(), "");
    try (RespClient client = new RespClient(platform.port())) {
      return client.call(command).equals("value of " + command[2]);
    } catch (IOException e) {
      return false; // The gateway does not listen yet.
    }
  }
}
