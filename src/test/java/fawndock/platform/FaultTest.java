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
 * Tests that requests are served despite faults of the counter and discovery, reloads and
 * shutdowns.
 */
class FaultTest {
  private static String sendRequest(PlatformHarness harness, RespClient client, String type)
      throws Exception {
    String[] command = harness.newRequest(type);
    String response = client.call(command);
    return response.equals("value of " + command[2]) ? "served" : response;
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
          assertEquals("served", sendRequest(harness, client, "look"));
        }
        assertTrue(harness.platform.counter.commandCount() > 0);
      }
    }
  }

  @Test
  void amounts_areEncodedWithoutExponent() {
    assertEquals("-2.5", CounterCall.encodeAmount(-2.5));
    assertEquals("0", CounterCall.encodeAmount(0));
    assertEquals("0.00000012", CounterCall.encodeAmount(1.2e-7));
    assertEquals("3", CounterCall.encodeAmount(3));
  }

  @Test
  void endpointReplacedAtSameAddress_isUsedAndDrainingOneIsNot() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(FakeRespServer.backendHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      assertEquals("served", sendRequest(harness, client, "look"));
      String address = "127.0.0.1:" + harness.platform.backend.port();
      harness.platform.discovery.sendEvent("what is no JSON");
      harness.platform.discovery.setSnapshot(
          FakeDiscoveryServer.endpointListJson(9, true, "w9", address, "ready"));
      Await.until(() -> harness.platform.discovery.watchCount() == 2);
      assertEquals("served", sendRequest(harness, client, "look"));
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              10,
              false,
              "w9",
              address,
              "draining",
              "w10",
              "127.0.0.1:" + secondBackend.port(),
              "ready"));
      Await.until(
          () -> {
            assertEquals("served", sendRequest(harness, client, "look"));
            return secondBackend.commandCount() > 0;
          });
      int commandsBefore = harness.platform.backend.commandCount();
      for (int i = 0; i < 5; i++) {
        assertEquals("served", sendRequest(harness, client, "look"));
      }
      assertEquals(commandsBefore, harness.platform.backend.commandCount());
    }
  }

  /**
   * The warm-up's requests stay in memory: they use no Unix socket, no file and no connection to a
   * backend or the counter.
   */
  @Test
  void warmUp_leavesNoSocketFileOrConnection() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      assertEquals(0, harness.platform.backend.acceptedConnectionCount());
      assertEquals(0, harness.platform.counter.acceptedConnectionCount());
      assertEquals("served", sendRequest(harness, client, "look"));
      assertTrue(
          Files.readAllLines(Path.of("/proc/net/unix")).stream()
              .noneMatch(line -> line.contains("fawndock")));
      try (Stream<Path> remainingFiles =
          Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
        assertTrue(
            remainingFiles.noneMatch(
                file ->
                    file.getFileName()
                        .toString()
                        .startsWith("fawndock-" + ProcessHandle.current().pid())));
      }
    }
  }

  @Test
  void warmUp_servesItsRequests() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (FakePlatform platform =
        new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      PlatformConfig config = PlatformConfigReader.read(platform.environment());
      CompletableFuture<Integer> servedCount = new CompletableFuture<>();
      vertx
          .getOrCreateContext()
          .runOnContext(
              v -> {
                WarmUp warmUp = new WarmUp(vertx, config, DefaultGatewayPolicy::new);
                warmUp.run().onComplete(done -> servedCount.complete(warmUp.servedCount()));
              });
      assertTrue(servedCount.get(20, TimeUnit.SECONDS) > 0);
      assertEquals(0, platform.backend.acceptedConnectionCount());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /** Connections to an unresponsive counter that is no longer configured are closed. */
  @Test
  void connectionsToFormerCounter_areClosed() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), (command, connection) -> {});
        RespClient client = harness.connectClient();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler())) {
      assertEquals("served", sendRequest(harness, client, "look"));
      assertTrue(harness.platform.counter.openConnectionCount() > 0);
      harness.platform.writeConfiguration(harness.platform.discovery.port(), counter.port());
      harness.process.reload();
      Await.until(() -> harness.platform.counter.openConnectionCount() == 0);
    }
  }

  /**
   * The fake discovery server sends no empty lines, so its watches are suspected to be dead after
   * the idle timeout.
   */
  @Test
  void silentWatch_isReopened() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      Await.until(() -> harness.platform.discovery.watchCount() >= 2);
      assertEquals("served", sendRequest(harness, harness.connectClient(), "look"));
    }
  }

  /**
   * A call that has timed out stays in the queue of expected replies, so the next call does not get
   * its total.
   */
  @Test
  void lateTotal_isNotTakenForTotalOfNextCall() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    AtomicInteger replyCount = new AtomicInteger();
    Vertx vertx = Vertx.vertx();
    List<CounterReply> replies = new CopyOnWriteArrayList<>();
    try (FakeRespServer server =
        new FakeRespServer(
            (command, connection) -> {
              release.await();
              connection.send("$1\r\n" + replyCount.incrementAndGet() + "\r\n");
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
      assertEquals("served", sendRequest(harness, client, "look"));
      harness.platform.discovery.endWatches();
      assertEquals("served", sendRequest(harness, client, "look"));
    }
  }

  @Test
  void reload_appliesNewConfigurationButNotMalformedOne() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient();
        FakeRespServer counter = new FakeRespServer(FakeRespServer.counterHandler());
        FakeDiscoveryServer newDiscovery =
            new FakeDiscoveryServer(
                FakeDiscoveryServer.endpointListJson(
                    3, true, "w1", "127.0.0.1:" + harness.platform.backend.port(), "ready"))) {
      assertEquals("served", sendRequest(harness, client, "look"));
      harness.platform.writeFile("{\"name\":");
      harness.process.reload();
      assertEquals("served", sendRequest(harness, client, "look"));
      assertEquals(0, counter.commandCount());
      harness.platform.writeConfiguration(newDiscovery.port(), counter.port());
      harness.process.reload();
      harness.process.reload();
      Await.until(
          () -> {
            assertEquals("served", sendRequest(harness, client, "look"));
            return counter.commandCount() > 0 && newDiscovery.watchCount() == 1;
          });
      harness.platform.counter.close();
      harness.platform.discovery.close();
      int commandsBefore = counter.commandCount();
      assertEquals("served", sendRequest(harness, client, "look"));
      assertTrue(counter.commandCount() > commandsBefore);
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
      RespClient waitingClient = harness.connectClient();
      String[] command = harness.newRequest("pay");
      waitingClient.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      harness.process.stop();
      assertEquals("served", sendRequest(harness, harness.connectClient(), "look"));
      release.countDown();
      assertEquals("value of " + command[2], waitingClient.readReply());
      assertNull(waitingClient.readReply());
      assertEquals(0, harness.stop());
    }
  }

  @Test
  void invalidConfiguration_isReportedInOneLine() throws Exception {
    assertEquals(
        "RELAY_CONFIG is not set: the path of the configuration is expected",
        assertThrows(InvalidConfigException.class, () -> PlatformConfigReader.read(Map.of()))
            .getMessage());
    try (FakePlatform platform =
        new FakePlatform(FakeRespServer.backendHandler(), FakeRespServer.counterHandler())) {
      String path = platform.environment().get("RELAY_CONFIG");
      String validConfig = Files.readString(Path.of(path));
      for (String[] invalidCase :
          new String[][] {
            {"{\"name\":", "not JSON"},
            {"[]", "not a JSON object"},
            {"{}", "'settings' is missing"},
            {
              validConfig.replace("\"listen\":\"127", "\"listen\":\"nowhere\",\"was\":\"127"),
              "'listen' is 'nowhere', HOST:PORT is expected"
            },
            {
              validConfig.replace(":" + platform.discovery.port(), ":0"),
              "'discovery' is '127.0.0.1:0', HOST:PORT is expected"
            },
            {validConfig.replace("8c1f30d27a5be964", "xyz"), "'seed' is 'xyz'"},
            {validConfig.replace("at_most_once", "ever"), "unknown word 'ever'"},
            {validConfig.replace("\"name\":\"small\"", "\"title\":\"small\""), "'name' is missing"}
          }) {
        platform.writeFile(invalidCase[0]);
        String message =
            assertThrows(
                    InvalidConfigException.class,
                    () -> PlatformConfigReader.read(platform.environment()))
                .getMessage();
        assertTrue(
            message.startsWith(path + ": ")
                && message.contains(invalidCase[1])
                && !message.contains("\n"),
            message);
      }
    }
  }
}
