package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The counter, the catalog, new configurations and stops, each with its trouble, under requests.
 */
class FaultTest {
  private static String ask(PlatformHarness service, RespClient client, String type)
      throws Exception {
    String[] words = service.request(type);
    String answer = client.call(words);
    return answer.equals("value of " + words[2]) ? "served" : answer;
  }

  @Test
  void aCounterInTroubleCostsARequestNothingButItsWait() throws Exception {
    for (FakeRespServer.CommandHandler counter :
        new FakeRespServer.CommandHandler[] {
          (words, link) -> {},
          (words, link) -> link.send("-BUSY\r\n"),
          (words, link) -> link.send("-ERR no such call\r\n"),
          (words, link) -> link.close(true),
          (words, link) -> link.send("$3000000000\r\n"),
          (words, link) -> link.send("$5\r\nnoise\r\n"),
          (words, link) -> link.send("+OK\r\n"),
          (words, link) -> link.send("$1\r\n1\r\n$1\r\n1\r\n")
        }) {
      try (PlatformHarness service = new PlatformHarness(FakeRespServer.backendHandler(), counter);
          RespClient client = service.client()) {
        for (int i = 0; i < 3; i++) {
          assertEquals("served", ask(service, client, "look"));
        }
        assertTrue(service.world.counter.commandCount() > 0);
      }
    }
  }

  @Test
  void amountsHaveNoExponent() {
    assertEquals("-2.5", CounterCall.encodeAmount(-2.5));
    assertEquals("0", CounterCall.encodeAmount(0));
    assertEquals("0.00000012", CounterCall.encodeAmount(1.2e-7));
    assertEquals("3", CounterCall.encodeAmount(3));
  }

  @Test
  void aWorkerIsReplacedAtItsAddressAndADrainIsKept() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      assertEquals("served", ask(service, client, "look"));
      String at = "127.0.0.1:" + service.world.backend.port();
      service.world.discovery.sendEvent("what is no JSON");
      service.world.discovery.setSnapshot(
          FakeDiscoveryServer.endpointListJson(9, true, "w9", at, "ready"));
      Await.until(() -> service.world.discovery.watchCount() == 2);
      assertEquals("served", ask(service, client, "look"));
      service.world.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              10, false, "w9", at, "draining", "w10", "127.0.0.1:" + second.port(), "ready"));
      Await.until(
          () -> {
            assertEquals("served", ask(service, client, "look"));
            return second.commandCount() > 0;
          });
      int before = service.world.backend.commandCount();
      for (int i = 0; i < 5; i++) {
        assertEquals("served", ask(service, client, "look"));
      }
      assertEquals(before, service.world.backend.commandCount());
    }
  }

  /**
   * It answers its own requests in memory: no socket but TCP, no file, no request to a worker or
   * the counter.
   */
  @Test
  void theWarmUpLeavesNothingBehind() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      assertEquals(0, service.world.backend.acceptedCount());
      assertEquals(0, service.world.counter.acceptedCount());
      assertEquals("served", ask(service, client, "look"));
      assertTrue(
          Files.readAllLines(Path.of("/proc/net/unix")).stream()
              .noneMatch(line -> line.contains("fawndock")));
      try (Stream<Path> left = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
        assertTrue(
            left.noneMatch(
                each ->
                    each.getFileName()
                        .toString()
                        .startsWith("fawndock-" + ProcessHandle.current().pid())));
      }
    }
  }

  @Test
  void theWarmUpServes() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (FakePlatform world =
        new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      PlatformConfig config = PlatformConfigReader.read(world.environment());
      CompletableFuture<Integer> served = new CompletableFuture<>();
      vertx
          .getOrCreateContext()
          .runOnContext(
              v -> {
                WarmUp warmUp = new WarmUp(vertx, config, DefaultGatewayPolicy::new);
                warmUp.run().onComplete(done -> served.complete(warmUp.servedCount()));
              });
      assertTrue(served.get(20, TimeUnit.SECONDS) > 0);
      assertEquals(0, world.backend.acceptedCount());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /** Connections to a counter that is no longer told about, and says nothing, are not kept. */
  @Test
  void connectionsToACounterOfBeforeEnd() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), (words, link) -> {});
        RespClient client = service.client();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler())) {
      assertEquals("served", ask(service, client, "look"));
      assertTrue(service.world.counter.openCount() > 0);
      service.world.writeConfiguration(service.world.discovery.port(), counter.port());
      service.daemon.reload();
      Await.until(() -> service.world.counter.openCount() == 0);
    }
  }

  /** The stand-in sends no empty lines: to its client its watches are dead after a while. */
  @Test
  void aSilentWatchIsMadeAgain() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      Await.until(() -> service.world.discovery.watchCount() >= 2);
      assertEquals("served", ask(service, service.client(), "look"));
    }
  }

  /** A call that has timed out keeps its place: the next one is not told its total. */
  @Test
  void aLateTotalIsNobodyElses() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    AtomicInteger many = new AtomicInteger();
    Vertx vertx = Vertx.vertx();
    List<CounterReply> told = new CopyOnWriteArrayList<>();
    try (FakeRespServer server =
        new FakeRespServer(
            (words, link) -> {
              release.await();
              link.send("$1\r\n" + many.incrementAndGet() + "\r\n");
            })) {
      Context context = vertx.getOrCreateContext();
      CounterClient[] counter = new CounterClient[1];
      context.runOnContext(
          v -> {
            counter[0] =
                new CounterClient(
                    new TcpTransport(context),
                    new Address("127.0.0.1", server.port()),
                    new MicroClock(),
                    new Timers(vertx),
                    new ActivitySummary(),
                    new CounterClient.Timeouts(250_000, 50_000),
                    told::add);
            counter[0].add(new AddToCounter("name", 1, 4_000_000));
          });
      Await.until(() -> told.size() == 1);
      assertEquals(CallResult.TIMEOUT, told.get(0).result());
      context.runOnContext(
          v -> {
            counter[0].add(new AddToCounter("name", 1, 4_000_000));
            release.countDown();
          });
      Await.until(() -> told.size() == 2);
      assertEquals(2.0, told.get(1).total());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  @Test
  void anEmptyListEmptiesNothing() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      service.world.discovery.setSnapshot(FakeDiscoveryServer.endpointListJson(11, true));
      service.world.discovery.sendEvent(FakeDiscoveryServer.endpointListJson(11, true));
      assertEquals("served", ask(service, client, "look"));
      service.world.discovery.endWatches();
      assertEquals("served", ask(service, client, "look"));
    }
  }

  @Test
  void aNewConfigurationIsTakenUpAndADamagedOneIsNot() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler());
        FakeDiscoveryServer catalog =
            new FakeDiscoveryServer(
                FakeDiscoveryServer.endpointListJson(
                    3, true, "w1", "127.0.0.1:" + service.world.backend.port(), "ready"))) {
      assertEquals("served", ask(service, client, "look"));
      service.world.writeFile("{\"name\":");
      service.daemon.reload();
      assertEquals("served", ask(service, client, "look"));
      assertEquals(0, counter.commandCount());
      service.world.writeConfiguration(catalog.port(), counter.port());
      service.daemon.reload();
      service.daemon.reload();
      Await.until(
          () -> {
            assertEquals("served", ask(service, client, "look"));
            return counter.commandCount() > 0 && catalog.watchCount() == 1;
          });
      service.world.counter.close();
      service.world.discovery.close();
      int before = counter.commandCount();
      assertEquals("served", ask(service, client, "look"));
      assertTrue(counter.commandCount() > before);
    }
  }

  @Test
  void aStopAnswersWhatIsOpenAndWhatStillComes() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            release.await();
          }
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler())) {
      RespClient open = service.client();
      String[] words = service.request("pay");
      open.send(RespClient.encodeCommand(words));
      Await.until(() -> service.world.backend.commandCount() == 1);
      service.daemon.stop();
      assertEquals("served", ask(service, service.client(), "look"));
      release.countDown();
      assertEquals("value of " + words[2], open.readReply());
      assertNull(open.readReply());
      assertEquals(0, service.stop());
    }
  }

  @Test
  void anUnusableConfigurationIsToldInOneLine() throws Exception {
    assertEquals(
        "RELAY_CONFIG is not set: the path of the configuration is expected",
        assertThrows(InvalidConfigException.class, () -> PlatformConfigReader.read(Map.of()))
            .getMessage());
    try (FakePlatform world =
        new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      String file = world.environment().get("RELAY_CONFIG");
      String good = Files.readString(Path.of(file));
      for (String[] each :
          new String[][] {
            {"{\"name\":", "not JSON"},
            {"[]", "not a JSON object"},
            {"{}", "'settings' is missing"},
            {
              good.replace("\"listen\":\"127", "\"listen\":\"nowhere\",\"was\":\"127"),
              "'listen' is 'nowhere', HOST:PORT is expected"
            },
            {
              good.replace(":" + world.discovery.port(), ":0"),
              "'discovery' is '127.0.0.1:0', HOST:PORT is expected"
            },
            {good.replace("8c1f30d27a5be964", "xyz"), "'seed' is 'xyz'"},
            {good.replace("at_most_once", "ever"), "unknown word 'ever'"},
            {good.replace("\"name\":\"small\"", "\"title\":\"small\""), "'name' is missing"}
          }) {
        world.writeFile(each[0]);
        String line =
            assertThrows(
                    InvalidConfigException.class,
                    () -> PlatformConfigReader.read(world.environment()))
                .getMessage();
        assertTrue(
            line.startsWith(file + ": ") && line.contains(each[1]) && !line.contains("\n"), line);
      }
    }
  }
}
