package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Tests that no draining endpoint is missed when discovery stops responding, recovers, ends its
 * watches or formats its JSON differently.
 */
class EndpointDiscoveryTest {
  private static void assertServed(PlatformHarness harness, RespClient client) throws Exception {
    String[] command = harness.newRequest("look");
    assertEquals("value of " + command[2], client.call(command));
  }

  /** Returns a list in which the first backend is draining and the second is running. */
  private static String listWithDrainingFirst(
      PlatformHarness harness, FakeRespServer secondBackend, boolean isSnapshot) {
    return FakeDiscoveryServer.endpointListJson(
        20,
        isSnapshot,
        "w1",
        "127.0.0.1:" + harness.platform.backend.port(),
        "draining",
        "w2",
        "127.0.0.1:" + secondBackend.port(),
        "ready");
  }

  private static void assertOnlySecondIsUsed(
      PlatformHarness harness, RespClient client, FakeRespServer secondBackend) throws Exception {
    Await.until(
        () -> {
          assertServed(harness, client);
          return secondBackend.commandCount() > 0;
        });
    int before = harness.platform.backend.commandCount();
    for (int i = 0; i < 5; i++) {
      assertServed(harness, client);
    }
    assertEquals(before, harness.platform.backend.commandCount());
  }

  @Test
  void change_isReadInAnyLayoutAndChunking() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      String indented =
          "\n"
              + listWithDrainingFirst(harness, secondBackend, false)
                  .replace(",", ",\n    ")
                  .replace("{", "{\n  ")
              + "\n";
      for (int i = 0; i < indented.length(); i += 7) {
        harness.platform.discovery.sendChunk(
            indented.substring(i, Math.min(indented.length(), i + 7)));
      }
      assertOnlySecondIsUsed(harness, client, secondBackend);
      assertEquals(1, harness.platform.discovery.watchCount());
    }
  }

  /**
   * A call is open at all times, so that a change which discovery sends when it recovers is
   * received.
   */
  @Test
  void unresponsiveDiscovery_hasOpenCallAtAllTimes() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertServed(harness, client);
      harness.platform.discovery.setUnresponsive(true);
      AtomicBoolean hadOpenCallThroughout = new AtomicBoolean(true);
      AtomicBoolean isMonitoring = new AtomicBoolean(true);
      Thread monitor =
          new Thread(
              () -> {
                while (isMonitoring.get()) {
                  hadOpenCallThroughout.compareAndSet(
                      true, harness.platform.discovery.openConnectionCount() > 0);
                  Thread.onSpinWait();
                }
              });
      monitor.start();
      int before = harness.platform.discovery.acceptedConnectionCount();
      Await.until(() -> harness.platform.discovery.acceptedConnectionCount() >= before + 3);
      harness.platform.discovery.setSnapshot(listWithDrainingFirst(harness, secondBackend, true));
      harness.platform.discovery.setUnresponsive(false);
      Await.until(() -> harness.platform.discovery.watchCount() >= 2);
      isMonitoring.set(false);
      monitor.join();
      assertTrue(hadOpenCallThroughout.get());
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, secondBackend, false));
      assertOnlySecondIsUsed(harness, client, secondBackend);
    }
  }

  /**
   * The counter's reply and then the list with the draining endpoint are read in one turn, so that
   * the endpoint is selected before it is known to drain.
   */
  @Test
  void drainInSameTurnAsSelection_isRespected() throws Exception {
    AtomicReference<CountDownLatch> counterLatch = new AtomicReference<>(new CountDownLatch(0));
    FakeRespServer.CommandHandler counter =
        (command, connection) -> {
          counterLatch.get().await();
          FakeRespServer.counterHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertServed(harness, client);
      Thread.sleep(80); // Long enough that the backend connection is reused.
      CountDownLatch counterReplyLatch = new CountDownLatch(1);
      counterLatch.set(counterReplyLatch);
      int callsBefore = harness.platform.counter.commandCount();
      String[] command = harness.newRequest("look");
      client.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.counter.commandCount() > callsBefore);
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      counterReplyLatch.countDown();
      Thread.sleep(20);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, secondBackend, false));
      Thread.sleep(20);
      releaseEventLoop.countDown();
      assertEquals("value of " + command[2], client.readReply());
      assertEquals(1, harness.platform.backend.commandCount());
      assertEquals(1, secondBackend.commandCount());
    }
  }

  @Test
  void endedWatch_isReopened() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      for (int i = 1; i <= 5; i++) {
        int expectedWatchCount = i;
        Await.until(() -> harness.platform.discovery.watchCount() == expectedWatchCount);
        harness.platform.discovery.endWatches();
      }
      Await.until(() -> harness.platform.discovery.watchCount() == 6);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, secondBackend, true));
      assertOnlySecondIsUsed(harness, client, secondBackend);
    }
  }

  @Test
  void outdatedList_isIgnored() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, secondBackend, false));
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              8, false, "w1", "127.0.0.1:" + harness.platform.backend.port(), "ready"));
      assertOnlySecondIsUsed(harness, client, secondBackend);
    }
  }

  /**
   * A second reload happens before the address of the first has sent a list. The watches at both
   * earlier addresses are closed once the newest one sends a list.
   */
  @Test
  void formerAddresses_areClosedOnceNewestSendsList() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler());
        FakeDiscoveryServer unresponsiveDiscovery =
            new FakeDiscoveryServer(listWithDrainingFirst(harness, secondBackend, true));
        FakeDiscoveryServer newestDiscovery =
            new FakeDiscoveryServer(listWithDrainingFirst(harness, secondBackend, true))) {
      unresponsiveDiscovery.setUnresponsive(true);
      newestDiscovery.setUnresponsive(true);
      harness.platform.writeConfiguration(
          unresponsiveDiscovery.port(), harness.platform.counter.port());
      harness.process.reload();
      Await.until(() -> unresponsiveDiscovery.acceptedConnectionCount() > 0);
      harness.platform.writeConfiguration(newestDiscovery.port(), harness.platform.counter.port());
      harness.process.reload();
      Await.until(() -> newestDiscovery.acceptedConnectionCount() > 0);
      assertServed(harness, client);
      assertTrue(harness.platform.discovery.openConnectionCount() > 0);
      newestDiscovery.setUnresponsive(false);
      Await.until(
          () ->
              newestDiscovery.watchCount() > 0
                  && harness.platform.discovery.openConnectionCount() == 0);
      assertOnlySecondIsUsed(harness, client, secondBackend);
      int callsBefore = unresponsiveDiscovery.acceptedConnectionCount();
      unresponsiveDiscovery.setUnresponsive(false);
      Await.until(() -> unresponsiveDiscovery.openConnectionCount() == 0);
      assertEquals(callsBefore, unresponsiveDiscovery.acceptedConnectionCount());
    }
  }

  @Test
  void watch_isReopenedWhileClientsUseAllTheirDescriptors() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      List<RespClient> idleClients = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        idleClients.add(harness.connectClient());
      }
      harness.platform.discovery.endWatches();
      releaseEventLoop.countDown();
      Await.until(() -> harness.platform.discovery.watchCount() == 2);
      assertServed(harness, harness.connectClient());
      // Keeps the clients reachable until here, so that none is closed earlier.
      assertEquals(60, idleClients.size());
    }
  }
}
