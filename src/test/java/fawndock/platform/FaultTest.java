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

/** Faults of counter and discovery, reloads and shutdowns, each with requests. */
class FaultTest {
  private static String ask(PlatformHarness harness, RespClient client, String type)
      throws Exception {
    String[] command = harness.newRequest(type);
    String answer = client.call(command);
    return answer.equals("value of " + command[2]) ? "served" : answer;
  }

  @Test
  void faultyCounter_delaysRequestsButFailsNone() throws Exception {
    for (FakeRespServer.CommandHandler counter :
        new FakeRespServer.CommandHandler[] {
          (command, connection) -> {},
          (command, connection) -> connection.send("-BUSY\r\n"),
          (command, connection) -> connection.send("-ERR no such call\r\n"),
          (command, connection) -> connection.close(true),
          (command, connection) -> connection.send("$3000000000\r\n"),
          (command, connection) -> connection.send("$5\r\nnoise\r\n"),
          (command, connection) -> connection.send("+OK\r\n"),
          (command, connection) -> connection.send("$1\r\n1\r\n$1\r\n1\r\n")
        }) {
      try (PlatformHarness harness = new PlatformHarness(FakeRespServer.backendHandler(), counter);
          RespClient client = harness.connectClient()) {
        for (int i = 0; i < 3; i++) {
          assertEquals("served", ask(harness, client, "look"));
        }
        assertTrue(harness.platform.counter.commandCount() > 0);
      }
    }
  }

  @Test
  void amountsAreEncodedWithoutExponent() {
    assertEquals("-2.5", CounterCall.encodeAmount(-2.5));
    assertEquals("0", CounterCall.encodeAmount(0));
    assertEquals("0.00000012", CounterCall.encodeAmount(1.2e-7));
    assertEquals("3", CounterCall.encodeAmount(3));
  }

  @Test
  void endpointReplacedAtItsAddress_isUsedAndDrainingOneIsNot() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer second = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertEquals("served", ask(harness, client, "look"));
      String at = "127.0.0.1:" + harness.platform.backend.port();
      harness.platform.discovery.sendEvent("what is no JSON");
      harness.platform.discovery.setSnapshot(
          FakeDiscoveryServer.endpointListJson(9, true, "w9", at, "ready"));
      Await.until(() -> harness.platform.discovery.watchCount() == 2);
      assertEquals("served", ask(harness, client, "look"));
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              10, false, "w9", at, "draining", "w10", "127.0.0.1:" + second.port(), "ready"));
      Await.until(
          () -> {
            assertEquals("served", ask(harness, client, "look"));
            return second.commandCount() > 0;
          });
      int before = harness.platform.backend.commandCount();
      for (int i = 0; i < 5; i++) {
        assertEquals("served", ask(harness, client, "look"));
      }
      assertEquals(before, harness.platform.backend.commandCount());
    }
  }

  /**
   * Its requests stay in memory: no Unix socket, no file, no request to a backend or the counter.
   */
  @Test
  void warmUp_leavesNoSocketFileOrConnection() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      assertEquals(0, harness.platform.backend.acceptedConnectionCount());
      assertEquals(0, harness.platform.counter.acceptedConnectionCount());
      assertEquals("served", ask(harness, client, "look"));
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
  void warmUp_servesItsRequests() throws Exception {
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
      assertEquals(0, world.backend.acceptedConnectionCount());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /** Connections to a silent counter that is no longer configured are closed. */
  @Test
  void connectionsToAnEarlierCounter_areClosed() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), (command, connection) -> {});
        RespClient client = harness.connectClient();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler())) {
      assertEquals("served", ask(harness, client, "look"));
      assertTrue(harness.platform.counter.openConnectionCount() > 0);
      harness.platform.writeConfiguration(harness.platform.discovery.port(), counter.port());
      harness.process.reload();
      Await.until(() -> harness.platform.counter.openConnectionCount() == 0);
    }
  }

  /** The fake sends no empty lines, so its watches are taken to be dead after a while. */
  @Test
  void silentWatch_isReopened() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() >= 2);
      assertEquals("served", ask(harness, harness.connectClient(), "look"));
    }
  }

  /** A call that has timed out keeps its place: the next one does not get its total. */
  @Test
  void lateTotal_isNotTakenForTheNextCalls() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    AtomicInteger many = new AtomicInteger();
    Vertx vertx = Vertx.vertx();
    List<CounterReply> replies = new CopyOnWriteArrayList<>();
    try (FakeRespServer server =
        new FakeRespServer(
            (command, connection) -> {
              release.await();
              connection.send("$1\r\n" + many.incrementAndGet() + "\r\n");
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
                    replies::add);
            counter[0].add(new AddToCounter("name", 1, 4_000_000));
          });
      Await.until(() -> replies.size() == 1);
      assertEquals(CallResult.TIMEOUT, replies.get(0).result());
      context.runOnContext(
          v -> {
            counter[0].add(new AddToCounter("name", 1, 4_000_000));
            release.countDown();
          });
      Await.until(() -> replies.size() == 2);
      assertEquals(2.0, replies.get(1).total());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  @Test
  void emptyList_isIgnored() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      harness.platform.discovery.setSnapshot(FakeDiscoveryServer.endpointListJson(11, true));
      harness.platform.discovery.sendEvent(FakeDiscoveryServer.endpointListJson(11, true));
      assertEquals("served", ask(harness, client, "look"));
      harness.platform.discovery.endWatches();
      assertEquals("served", ask(harness, client, "look"));
    }
  }

  @Test
  void reload_takesANewConfigurationButNoDamagedOne() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler());
        FakeDiscoveryServer catalog =
            new FakeDiscoveryServer(
                FakeDiscoveryServer.endpointListJson(
                    3, true, "w1", "127.0.0.1:" + harness.platform.backend.port(), "ready"))) {
      assertEquals("served", ask(harness, client, "look"));
      harness.platform.writeFile("{\"name\":");
      harness.process.reload();
      assertEquals("served", ask(harness, client, "look"));
      assertEquals(0, counter.commandCount());
      harness.platform.writeConfiguration(catalog.port(), counter.port());
      harness.process.reload();
      harness.process.reload();
      Await.until(
          () -> {
            assertEquals("served", ask(harness, client, "look"));
            return counter.commandCount() > 0 && catalog.watchCount() == 1;
          });
      harness.platform.counter.close();
      harness.platform.discovery.close();
      int before = counter.commandCount();
      assertEquals("served", ask(harness, client, "look"));
      assertTrue(counter.commandCount() > before);
    }
  }

  @Test
  void shutdown_servesRequestsInFlightAndNewOnes() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            release.await();
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler())) {
      RespClient open = harness.connectClient();
      String[] command = harness.newRequest("pay");
      open.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      harness.process.stop();
      assertEquals("served", ask(harness, harness.connectClient(), "look"));
      release.countDown();
      assertEquals("value of " + command[2], open.readReply());
      assertNull(open.readReply());
      assertEquals(0, harness.stop());
    }
  }

  @Test
  void invalidConfiguration_isReportedInOneLine() throws Exception {
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
