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
 * The catalog falls silent, comes back, ends its watches or writes in other forms: no drain is
 * missed.
 */
class EndpointDiscoveryTest {
  private static void served(PlatformHarness service, RespClient client) throws Exception {
    String[] words = service.request("look");
    assertEquals("value of " + words[2], client.call(words));
  }

  /** The first worker drains and the second is ready, as the whole list and as a change. */
  private static String drained(PlatformHarness service, FakeRespServer second, boolean whole) {
    return FakeDiscoveryServer.endpointListJson(
        20,
        whole,
        "w1",
        "127.0.0.1:" + service.world.backend.port(),
        "draining",
        "w2",
        "127.0.0.1:" + second.port(),
        "ready");
  }

  private static void goesToSecond(
      PlatformHarness service, RespClient client, FakeRespServer second) throws Exception {
    Await.until(
        () -> {
          served(service, client);
          return second.commandCount() > 0;
        });
    int before = service.world.backend.commandCount();
    for (int i = 0; i < 5; i++) {
      served(service, client);
    }
    assertEquals(before, service.world.backend.commandCount());
  }

  @Test
  void aChangeIsReadInAnyFormAndPieces() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      String indented =
          "\n"
              + drained(service, second, false).replace(",", ",\n    ").replace("{", "{\n  ")
              + "\n";
      for (int i = 0; i < indented.length(); i += 7) {
        service.world.discovery.sendChunk(
            indented.substring(i, Math.min(indented.length(), i + 7)));
      }
      goesToSecond(service, client, second);
      assertEquals(1, service.world.discovery.watchCount());
    }
  }

  /**
   * No moment without a call that waits: what a catalog that was silent tells at its return is
   * heard.
   */
  @Test
  void aCallWaitsAllTheWhileThatTheCatalogIsSilent() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      served(service, client);
      service.world.discovery.setUnresponsive(true);
      AtomicBoolean waited = new AtomicBoolean(true);
      AtomicBoolean watching = new AtomicBoolean(true);
      Thread watcher =
          new Thread(
              () -> {
                while (watching.get()) {
                  waited.compareAndSet(true, service.world.discovery.openCount() > 0);
                  Thread.onSpinWait();
                }
              });
      watcher.start();
      int before = service.world.discovery.acceptedCount();
      Await.until(() -> service.world.discovery.acceptedCount() >= before + 3);
      service.world.discovery.setSnapshot(drained(service, second, true));
      service.world.discovery.setUnresponsive(false);
      Await.until(() -> service.world.discovery.watchCount() >= 2);
      watching.set(false);
      watcher.join();
      assertTrue(waited.get());
      service.world.discovery.sendEvent(drained(service, second, false));
      goesToSecond(service, client, second);
    }
  }

  /**
   * The counter's answer is read first, the drain in the same turn: the worker was chosen before it
   * was told to drain.
   */
  @Test
  void aDrainThatCameWithTheChoiceIsKept() throws Exception {
    AtomicReference<CountDownLatch> counting = new AtomicReference<>(new CountDownLatch(0));
    FakeRespServer.CommandHandler counter =
        (words, link) -> {
          counting.get().await();
          FakeRespServer.counterHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      served(service, client);
      Thread.sleep(80); // The connection has rested and is used again.
      CountDownLatch counted = new CountDownLatch(1);
      counting.set(counted);
      int calls = service.world.counter.commandCount();
      String[] words = service.request("look");
      client.send(RespClient.encodeCommand(words));
      Await.until(() -> service.world.counter.commandCount() > calls);
      CountDownLatch release = service.hold();
      counted.countDown();
      Thread.sleep(20);
      service.world.discovery.sendEvent(drained(service, second, false));
      Thread.sleep(20);
      release.countDown();
      assertEquals("value of " + words[2], client.readReply());
      assertEquals(1, service.world.backend.commandCount());
      assertEquals(1, second.commandCount());
    }
  }

  @Test
  void aWatchThatEndsInsteadOfTellingIsMadeAgain() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      for (int i = 1; i <= 5; i++) {
        int many = i;
        Await.until(() -> service.world.discovery.watchCount() == many);
        service.world.discovery.endWatches();
      }
      Await.until(() -> service.world.discovery.watchCount() == 6);
      service.world.discovery.sendEvent(drained(service, second, true));
      goesToSecond(service, client, second);
    }
  }

  @Test
  void anOlderListIsNotTaken() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      service.world.discovery.sendEvent(drained(service, second, false));
      service.world.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              8, false, "w1", "127.0.0.1:" + service.world.backend.port(), "ready"));
      goesToSecond(service, client, second);
    }
  }

  /**
   * A reload, and another before the first address has spoken: both are left when the newest
   * speaks.
   */
  @Test
  void addressesOfBeforeAreLeftWhenTheNewestSpeaks() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler());
        FakeDiscoveryServer mute = new FakeDiscoveryServer(drained(service, second, true));
        FakeDiscoveryServer last = new FakeDiscoveryServer(drained(service, second, true))) {
      mute.setUnresponsive(true);
      last.setUnresponsive(true);
      service.world.writeConfiguration(mute.port(), service.world.counter.port());
      service.daemon.reload();
      Await.until(() -> mute.acceptedCount() > 0);
      service.world.writeConfiguration(last.port(), service.world.counter.port());
      service.daemon.reload();
      Await.until(() -> last.acceptedCount() > 0);
      served(service, client);
      assertTrue(service.world.discovery.openCount() > 0);
      last.setUnresponsive(false);
      Await.until(() -> last.watchCount() > 0 && service.world.discovery.openCount() == 0);
      goesToSecond(service, client, second);
      int calls = mute.acceptedCount();
      mute.setUnresponsive(false);
      Await.until(() -> mute.openCount() == 0);
      assertEquals(calls, mute.acceptedCount());
    }
  }

  @Test
  void aWatchIsMadeAnewWhileClientsFillTheirDescriptors() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      CountDownLatch release = service.hold();
      List<RespClient> idle = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        idle.add(service.client());
      }
      service.world.discovery.endWatches();
      release.countDown();
      Await.until(() -> service.world.discovery.watchCount() == 2);
      served(service, service.client());
    }
  }
}
