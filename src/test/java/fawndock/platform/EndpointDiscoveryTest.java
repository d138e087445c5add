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
    assertEquals("value of " + words[2], client.ask(words));
  }

  /** The first worker drains and the second is ready, as the whole list and as a change. */
  private static String drained(PlatformHarness service, FakeRespServer second, boolean whole) {
    return FakeDiscoveryServer.list(
        20,
        whole,
        "w1",
        "127.0.0.1:" + service.world.worker.port(),
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
          return second.commands() > 0;
        });
    int before = service.world.worker.commands();
    for (int i = 0; i < 5; i++) {
      served(service, client);
    }
    assertEquals(before, service.world.worker.commands());
  }

  @Test
  void aChangeIsReadInAnyFormAndPieces() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker())) {
      Await.until(() -> service.world.catalog.watched() == 1);
      String indented =
          "\n"
              + drained(service, second, false).replace(",", ",\n    ").replace("{", "{\n  ")
              + "\n";
      for (int i = 0; i < indented.length(); i += 7) {
        service.world.catalog.chunk(indented.substring(i, Math.min(indented.length(), i + 7)));
      }
      goesToSecond(service, client, second);
      assertEquals(1, service.world.catalog.watched());
    }
  }

  /**
   * No moment without a call that waits: what a catalog that was silent tells at its return is
   * heard.
   */
  @Test
  void aCallWaitsAllTheWhileThatTheCatalogIsSilent() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker())) {
      Await.until(() -> service.world.catalog.watched() == 1);
      served(service, client);
      service.world.catalog.silent(true);
      AtomicBoolean waited = new AtomicBoolean(true);
      AtomicBoolean watching = new AtomicBoolean(true);
      Thread watcher =
          new Thread(
              () -> {
                while (watching.get()) {
                  waited.compareAndSet(true, service.world.catalog.open() > 0);
                  Thread.onSpinWait();
                }
              });
      watcher.start();
      int before = service.world.catalog.accepted();
      Await.until(() -> service.world.catalog.accepted() >= before + 3);
      service.world.catalog.whole(drained(service, second, true));
      service.world.catalog.silent(false);
      Await.until(() -> service.world.catalog.watched() >= 2);
      watching.set(false);
      watcher.join();
      assertTrue(waited.get());
      service.world.catalog.tell(drained(service, second, false));
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
    FakeRespServer.Behaviour counter =
        (words, link) -> {
          counting.get().await();
          FakeRespServer.counter().command(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(FakeRespServer.worker(), counter);
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker())) {
      Await.until(() -> service.world.catalog.watched() == 1);
      served(service, client);
      Thread.sleep(80); // The connection has rested and is used again.
      CountDownLatch counted = new CountDownLatch(1);
      counting.set(counted);
      int calls = service.world.counter.commands();
      String[] words = service.request("look");
      client.send(RespClient.command(words));
      Await.until(() -> service.world.counter.commands() > calls);
      CountDownLatch release = service.hold();
      counted.countDown();
      Thread.sleep(20);
      service.world.catalog.tell(drained(service, second, false));
      Thread.sleep(20);
      release.countDown();
      assertEquals("value of " + words[2], client.answer());
      assertEquals(1, service.world.worker.commands());
      assertEquals(1, second.commands());
    }
  }

  @Test
  void aWatchThatEndsInsteadOfTellingIsMadeAgain() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker())) {
      for (int i = 1; i <= 5; i++) {
        int many = i;
        Await.until(() -> service.world.catalog.watched() == many);
        service.world.catalog.cut();
      }
      Await.until(() -> service.world.catalog.watched() == 6);
      service.world.catalog.tell(drained(service, second, true));
      goesToSecond(service, client, second);
    }
  }

  @Test
  void anOlderListIsNotTaken() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker())) {
      Await.until(() -> service.world.catalog.watched() == 1);
      service.world.catalog.tell(drained(service, second, false));
      service.world.catalog.tell(
          FakeDiscoveryServer.list(
              8, false, "w1", "127.0.0.1:" + service.world.worker.port(), "ready"));
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
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.worker());
        FakeDiscoveryServer mute = new FakeDiscoveryServer(drained(service, second, true));
        FakeDiscoveryServer last = new FakeDiscoveryServer(drained(service, second, true))) {
      mute.silent(true);
      last.silent(true);
      service.world.configure(mute.port(), service.world.counter.port());
      service.daemon.reload();
      Await.until(() -> mute.accepted() > 0);
      service.world.configure(last.port(), service.world.counter.port());
      service.daemon.reload();
      Await.until(() -> last.accepted() > 0);
      served(service, client);
      assertTrue(service.world.catalog.open() > 0);
      last.silent(false);
      Await.until(() -> last.watched() > 0 && service.world.catalog.open() == 0);
      goesToSecond(service, client, second);
      int calls = mute.accepted();
      mute.silent(false);
      Await.until(() -> mute.open() == 0);
      assertEquals(calls, mute.accepted());
    }
  }

  @Test
  void aWatchIsMadeAnewWhileClientsFillTheirDescriptors() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter(), 64)) {
      Await.until(() -> service.world.catalog.watched() == 1);
      CountDownLatch release = service.hold();
      List<RespClient> idle = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        idle.add(service.client());
      }
      service.world.catalog.cut();
      release.countDown();
      Await.until(() -> service.world.catalog.watched() == 2);
      served(service, service.client());
    }
  }
}
