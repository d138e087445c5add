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
 * Discovery falls silent, recovers, ends its watches or uses other layouts: no draining is missed.
 */
class EndpointDiscoveryTest {
  private static void assertServed(PlatformHarness harness, RespClient client) throws Exception {
    String[] command = harness.newRequest("look");
    assertEquals("value of " + command[2], client.call(command));
  }

  /** A list in which the first backend is draining and the second is running. */
  private static String listWithDrainingFirst(
      PlatformHarness harness, FakeRespServer second, boolean whole) {
    return FakeDiscoveryServer.endpointListJson(
        20,
        whole,
        "w1",
        "127.0.0.1:" + harness.platform.backend.port(),
        "draining",
        "w2",
        "127.0.0.1:" + second.port(),
        "ready");
  }

  private static void assertOnlySecondIsUsed(
      PlatformHarness harness, RespClient client, FakeRespServer second) throws Exception {
    Await.until(
        () -> {
          assertServed(harness, client);
          return second.commandCount() > 0;
        });
    int before = harness.platform.backend.commandCount();
    for (int i = 0; i < 5; i++) {
      assertServed(harness, client);
    }
    assertEquals(before, harness.platform.backend.commandCount());
  }

  @Test
  void change_isReadInAnyLayoutAndPieces() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      String indented =
          "\n"
              + listWithDrainingFirst(harness, second, false)
                  .replace(",", ",\n    ")
                  .replace("{", "{\n  ")
              + "\n";
      for (int i = 0; i < indented.length(); i += 7) {
        harness.platform.discovery.sendChunk(
            indented.substring(i, Math.min(indented.length(), i + 7)));
      }
      assertOnlySecondIsUsed(harness, client, second);
      assertEquals(1, harness.platform.discovery.watchCount());
    }
  }

  /** A change that discovery sends when it recovers reaches a call that waits there. */
  @Test
  void silentDiscovery_hasACallOpenAtEveryMoment() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertServed(harness, client);
      harness.platform.discovery.setUnresponsive(true);
      AtomicBoolean waited = new AtomicBoolean(true);
      AtomicBoolean watching = new AtomicBoolean(true);
      Thread watcher =
          new Thread(
              () -> {
                while (watching.get()) {
                  waited.compareAndSet(true, harness.platform.discovery.openConnectionCount() > 0);
                  Thread.onSpinWait();
                }
              });
      watcher.start();
      int before = harness.platform.discovery.acceptedConnectionCount();
      Await.until(() -> harness.platform.discovery.acceptedConnectionCount() >= before + 3);
      harness.platform.discovery.setSnapshot(listWithDrainingFirst(harness, second, true));
      harness.platform.discovery.setUnresponsive(false);
      Await.until(() -> harness.platform.discovery.watchCount() >= 2);
      watching.set(false);
      watcher.join();
      assertTrue(waited.get());
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, second, false));
      assertOnlySecondIsUsed(harness, client, second);
    }
  }

  /**
   * The counter's reply is read first, the draining in the same turn: the endpoint was selected
   * before it was known to drain.
   */
  @Test
  void drainInTheTurnOfTheSelection_isObeyed() throws Exception {
    AtomicReference<CountDownLatch> counting = new AtomicReference<>(new CountDownLatch(0));
    FakeRespServer.CommandHandler counter =
        (command, connection) -> {
          counting.get().await();
          FakeRespServer.counterHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertServed(harness, client);
      Thread.sleep(80); // The backend connection will be reused.
      CountDownLatch counted = new CountDownLatch(1);
      counting.set(counted);
      int calls = harness.platform.counter.commandCount();
      String[] command = harness.newRequest("look");
      client.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.counter.commandCount() > calls);
      CountDownLatch release = harness.blockEventLoop();
      counted.countDown();
      Thread.sleep(20);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, second, false));
      Thread.sleep(20);
      release.countDown();
      assertEquals("value of " + command[2], client.readReply());
      assertEquals(1, harness.platform.backend.commandCount());
      assertEquals(1, second.commandCount());
    }
  }

  @Test
  void endedWatch_isReopened() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      for (int i = 1; i <= 5; i++) {
        int many = i;
        Await.until(() -> harness.platform.discovery.watchCount() == many);
        harness.platform.discovery.endWatches();
      }
      Await.until(() -> harness.platform.discovery.watchCount() == 6);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, second, true));
      assertOnlySecondIsUsed(harness, client, second);
    }
  }

  @Test
  void outdatedList_isIgnored() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      harness.platform.discovery.sendEvent(listWithDrainingFirst(harness, second, false));
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              8, false, "w1", "127.0.0.1:" + harness.platform.backend.port(), "ready"));
      assertOnlySecondIsUsed(harness, client, second);
    }
  }

  /**
   * A reload, and another before the first address has brought a list: both earlier addresses are
   * left once the newest brings one.
   */
  @Test
  void earlierAddresses_areLeftOnceTheNewestBringsAList() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler());
        FakeDiscoveryServer mute =
            new FakeDiscoveryServer(listWithDrainingFirst(harness, second, true));
        FakeDiscoveryServer last =
            new FakeDiscoveryServer(listWithDrainingFirst(harness, second, true))) {
      mute.setUnresponsive(true);
      last.setUnresponsive(true);
      harness.platform.writeConfiguration(mute.port(), harness.platform.counter.port());
      harness.process.reload();
      Await.until(() -> mute.acceptedConnectionCount() > 0);
      harness.platform.writeConfiguration(last.port(), harness.platform.counter.port());
      harness.process.reload();
      Await.until(() -> last.acceptedConnectionCount() > 0);
      assertServed(harness, client);
      assertTrue(harness.platform.discovery.openConnectionCount() > 0);
      last.setUnresponsive(false);
      Await.until(
          () -> last.watchCount() > 0 && harness.platform.discovery.openConnectionCount() == 0);
      assertOnlySecondIsUsed(harness, client, second);
      int calls = mute.acceptedConnectionCount();
      mute.setUnresponsive(false);
      Await.until(() -> mute.openConnectionCount() == 0);
      assertEquals(calls, mute.acceptedConnectionCount());
    }
  }

  @Test
  void watch_isReopenedWhileClientsHoldTheirDescriptors() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      CountDownLatch release = harness.blockEventLoop();
      List<RespClient> idle = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        idle.add(harness.connectClient());
      }
      harness.platform.discovery.endWatches();
      release.countDown();
      Await.until(() -> harness.platform.discovery.watchCount() == 2);
      assertServed(harness, harness.connectClient());
      assertEquals(60, idle.size()); // Referenced until here: none of them is closed before.
    }
  }
}
