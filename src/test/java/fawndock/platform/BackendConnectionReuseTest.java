package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests reuse of backend connections after late duplicate replies and closes by the backend, and
 * the timeout that attempts forward.
 */
class BackendConnectionReuseTest {
  /** Longer than the idle time after which a connection may be reused. */
  private static final long REUSABLE_AFTER_MILLIS = 80;

  /**
   * A duplicate some milliseconds after a reply must not be taken for the reply to the next
   * request.
   */
  @Test
  void lateDuplicateReply_isDiscarded() throws Exception {
    AtomicInteger commandCount = new AtomicInteger();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          String response =
              FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0");
          connection.send(response);
          if (commandCount.getAndIncrement() == 0) {
            Thread.sleep(20);
            connection.send(response);
          }
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 4; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
        Thread.sleep(10);
      }
    }
  }

  /**
   * The event loop reads the close of the connection to be reused in the same turn as the request.
   */
  @Test
  void requestConcurrentWithBackendClose_usesAnotherConnection() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Connection> connections = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          connections.add(connection);
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call(harness.newRequest("pay"));
      Thread.sleep(REUSABLE_AFTER_MILLIS);
      for (boolean isReset : new boolean[] {false, true}) {
        CountDownLatch releaseEventLoop = harness.blockEventLoop();
        String[] command = harness.newRequest("pay");
        client.send(RespClient.encodeCommand(command));
        Thread.sleep(20);
        connections.get(connections.size() - 1).close(isReset);
        Thread.sleep(20);
        releaseEventLoop.countDown();
        assertEquals("value of " + command[2], client.readReply());
        Thread.sleep(REUSABLE_AFTER_MILLIS);
      }
    }
  }

  /** Any bytes received on an idle connection close it, even if they are the start of a reply. */
  @Test
  void bytesOnIdleConnection_closeConnection() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Connection> connections = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          connections.add(connection);
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 3; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
        Thread.sleep(REUSABLE_AFTER_MILLIS);
        connections.get(i).send("*3\r\n$5\r\nva");
        Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
      }
      assertEquals(3, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /** A retry forwards the remaining time of the client's timeout, not the whole timeout. */
  @Tag("known-red")
  @Test
  void retry_forwardsRemainingTimeout() throws Exception {
    List<Integer> timeouts = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          timeouts.add(Integer.parseInt(command.get(3).replaceAll(".*,d=([0-9]+).*", "$1")));
          if (timeouts.size() == 1) {
            Thread.sleep(100);
            connection.send("-BUSY\r\n");
          } else {
            FakeRespServer.backendHandler().onCommand(command, connection);
          }
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], client.call(command));
      assertTrue(
          timeouts.get(0) <= 1_500 && timeouts.get(1) <= timeouts.get(0) - 100,
          timeouts.toString());
    }
  }

  /** No attempt is started for a request whose deadline has passed. */
  @Test
  void expiredRequest_isNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call(harness.newRequest("look"));
      Thread.sleep(REUSABLE_AFTER_MILLIS);
      String[] command = harness.newRequest("look");
      command[3] = command[3].replace("d=1500", "d=1");
      assertTrue(client.call(command).startsWith("-"));
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }
}
