package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.CounterServer;
import fawndock.counter.FileStorage;
import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.GroupCommit;
import fawndock.fake.FakeCounterServer;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.CounterService;
import fawndock.settings.LogSettings;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import redis.clients.jedis.Jedis;

/** Tests the counter client against a fake server and real counter servers. */
class CounterClientTest {
  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final BlockingQueue<CounterReply> replies = new LinkedBlockingQueue<>();
  private FakeCounterServer counter;
  private CounterClient client;
  private int port;
  private Map<String, Address> nodes = Map.of();

  @BeforeEach
  void start() throws Exception {
    counter = new FakeCounterServer().start();
    port = counter.port();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    GatewayHarness.await(vertx.close());
    counter.close();
  }

  private void connect(long timeoutMicros, int maxCallsInFlight) throws Exception {
    context.runOnContext(
        v ->
            client =
                new CounterClient(
                    vertx,
                    context,
                    new CounterService(
                        nodes.isEmpty() ? List.of(new Address("127.0.0.1", port)) : List.of(),
                        nodes,
                        timeoutMicros,
                        false,
                        maxCallsInFlight),
                    new MicroClock(),
                    new Timers(vertx),
                    replies::add));
    while (true) { // Probes until the connection is open; each probe has exactly one reply.
      add("probe", 0);
      if (nextReply().result() == CallResult.OK) {
        return;
      }
    }
  }

  private void add(String name, double... amounts) {
    context.runOnContext(
        v -> {
          for (double amount : amounts) {
            client.add(new AddToCounter(name, amount, 60_000_000));
          }
        });
  }

  private CounterReply nextReply() throws InterruptedException {
    CounterReply reply = replies.poll(20, TimeUnit.SECONDS);
    assertTrue(reply != null, "a call had no reply within 20 s");
    return reply;
  }

  @Test
  void totals_arriveInCallOrder() throws Exception {
    connect(20_000_000, 4_096);
    add("n", 1, 0.5, -1);
    assertEquals(
        List.of(1.0, 1.5, 0.5),
        List.of(nextReply().total(), nextReply().total(), nextReply().total()));
  }

  /**
   * Adding, setting the expiry and reading the total take one command if the server supports it.
   */
  @Test
  void addCommand_isUsedWhenTheServerSupportsIt(@TempDir Path directory) throws Exception {
    try (FileStorage storage = new FileStorage(directory, true)) {
      CounterServer counterServer =
          createCounterServer(
              storage, directory, new CounterSettings.Cluster("", 1, 150, 2_000, Map.of()));
      port = counterServer.start(bytes -> {});
      connect(20_000_000, 4_096);
      add("n", 1, 0.1, -0.1);
      assertEquals(
          List.of(1.0, 1.1, 1.0),
          List.of(nextReply().total(), nextReply().total(), nextReply().total()));
      try (Jedis jedis = new Jedis("127.0.0.1", port)) {
        long commandsBefore = processedCommandCount(jedis);
        add("n", 1, 1, 1);
        assertEquals(4, List.of(nextReply(), nextReply(), nextReply()).get(2).total());
        assertEquals(
            commandsBefore + 4,
            processedCommandCount(jedis),
            "one command for each call, and one INFO command");
        assertTrue(jedis.pttl("n") > 50_000 && jedis.pttl("n") <= 60_000);
      } finally {
        counterServer.close();
      }
    }
  }

  /**
   * Guards against calls without a reply when two of three replicas accept connections but never
   * respond.
   */
  @Test
  void unresponsiveNodes_doNotPreventReplies(@TempDir Path directory) throws Exception {
    try (FileStorage storage = new FileStorage(directory, true);
        ServerSocket firstSilentNode = new ServerSocket(0);
        ServerSocket secondSilentNode = new ServerSocket(0)) {
      CounterServer counterServer =
          createCounterServer(
              storage, directory, new CounterSettings.Cluster("", 1, 150, 2_000, Map.of()));
      nodes =
          Map.of(
              "n0",
              new Address("127.0.0.1", firstSilentNode.getLocalPort()),
              "n1",
              new Address("127.0.0.1", counterServer.start(bytes -> {})),
              "n2",
              new Address("127.0.0.1", secondSilentNode.getLocalPort()));
      try {
        connect(3_000_000, 4_096);
        for (int i = 0; i < 6; i++) { // Replies are ordered separately for each name.
          add("name-" + i + ".1", 2, -1);
          // The total includes the second amount if the call was retried on another node.
          double firstTotal = nextReply().total();
          assertTrue(firstTotal == 2 || firstTotal == 1, "total " + firstTotal);
          assertEquals(1.0, nextReply().total());
        }
      } finally {
        counterServer.close();
      }
    }
  }

  /**
   * A gateway learns of a new membership list from a node that is not on it, and restores its own
   * contribution to the counters on the new node.
   */
  @Test
  void newMembershipList_isAdopted(@TempDir Path directory) throws Exception {
    try (FileStorage removedStorage = new FileStorage(directory.resolve("old"), true);
        FileStorage newStorage = new FileStorage(directory.resolve("fresh"), true)) {
      CounterServer removedNode =
          createCounterServer(
              removedStorage,
              directory.resolve("old"),
              new CounterSettings.Cluster("n0", 1, 150, 200, Map.of()));
      int removedPort = removedNode.start(bytes -> {});
      CounterServer newNode =
          createCounterServer(
              newStorage,
              directory.resolve("fresh"),
              new CounterSettings.Cluster(
                  "n1", 1, 150, 200, Map.of("n0", new Address("127.0.0.1", removedPort))));
      int newPort = newNode.start(bytes -> {});
      nodes = Map.of("n0", new Address("127.0.0.1", removedPort));
      try (Jedis operator = new Jedis("127.0.0.1", removedPort)) {
        connect(3_000_000, 4_096);
        add("a.1", 5);
        assertEquals(5, nextReply().total());
        operator.sendCommand(
            () -> "FD.NODES".getBytes(StandardCharsets.US_ASCII), "2", "n1=127.0.0.1:" + newPort);
        CounterReply reply;
        do {
          add("a.1", 0);
          reply = nextReply();
        } while (reply.result() != CallResult.OK); // The removed node no longer responds.
        assertEquals(5, reply.total());
        removedNode.close();
        add("a.1", 1);
        assertEquals(6, nextReply().total());
      } finally {
        newNode.close();
      }
    }
  }

  private static CounterServer createCounterServer(
      FileStorage storage, Path directory, CounterSettings.Cluster cluster) {
    return new CounterServer(
        new CounterSettings(
            new Address("127.0.0.1", 0),
            directory,
            GroupCommit.Durability.ALWAYS,
            1_000,
            1 << 20,
            "",
            10,
            1 << 20,
            10_000,
            new LogSettings(false, "warn"),
            cluster),
        storage);
  }

  private static long processedCommandCount(Jedis jedis) {
    return Long.parseLong(jedis.info("stats").replaceAll("(?s).*processed:([0-9]+).*", "$1"));
  }

  /**
   * Guards against delivering the reply of a timed-out call to a later call with the same name that
   * is in flight when the reply arrives.
   */
  @Test
  void lateTotal_isNotDeliveredToAnotherCall() throws Exception {
    connect(2_000_000, 4_096);
    counter.setDelayMillis(2_600);
    add("n", 100);
    assertEquals(CallResult.TIMEOUT, nextReply().result());
    counter.setDelayMillis(0);
    add("n", 1);
    CounterReply secondReply = nextReply();
    assertEquals(CallResult.OK, secondReply.result());
    assertEquals(101, secondReply.total());
    assertTrue(replies.isEmpty());
  }

  /**
   * Guards against a half-open connection, on which no reply ever arrives: it is replaced, and
   * later calls succeed on the new one.
   */
  @Test
  void halfOpenConnection_isReplaced() throws Exception {
    connect(20_000, 4_096);
    counter.setUnresponsive(true);
    double[] amounts = new double[30];
    add("n", amounts);
    for (int i = 0; i < amounts.length; i++) {
      assertEquals(CallResult.TIMEOUT, nextReply().result());
    }
    counter.setUnresponsive(false);
    List<CallResult> results = new ArrayList<>();
    while (!results.contains(CallResult.OK)) {
      add("after", 1);
      results.add(nextReply().result());
    }
    assertTrue(results.size() > 1 || results.get(0) == CallResult.OK);
  }

  @Test
  void errorReply_isShedAndLostConnectionIsTimeout() throws Exception {
    connect(20_000_000, 4_096);
    counter.setRejecting(true);
    add("n", 5);
    assertEquals(CallResult.SHED, nextReply().result());
    counter.setRejecting(false);
    counter.setUnresponsive(true);
    long addCountBefore = counter.addCount();
    add("n", 7);
    // Once the call has reached the counter, it is in flight.
    GatewayHarness.awaitTrue(() -> counter.addCount() > addCountBefore);
    counter.stop();
    assertEquals(CallResult.TIMEOUT, nextReply().result());
    add("n", 1);
    assertEquals(CallResult.CONNECT_FAILED, nextReply().result());
  }

  /** A call above the limit is shed, but completes after the older call with the same name. */
  @Test
  void callAboveTheLimit_completesAfterOlderCallsOfItsName() throws Exception {
    connect(5_000_000, 1);
    counter.setDelayMillis(60);
    add("n", 1, 1);
    assertEquals(CallResult.OK, nextReply().result());
    assertEquals(CallResult.SHED, nextReply().result());
  }
}
