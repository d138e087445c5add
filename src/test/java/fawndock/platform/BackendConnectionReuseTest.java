package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Reuse of backend connections: late duplicates, closes by the backend, and the timeout of retries.
 */
class BackendConnectionReuseTest {
  private static final long RESTED_MILLIS = 80;

  /** A duplicate some milliseconds behind a reply is not the next request's. */
  @Test
  void lateDuplicateReply_isDropped() throws Exception {
    AtomicInteger many = new AtomicInteger();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          String answer = FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0");
          connection.send(answer);
          if (many.getAndIncrement() == 0) {
            Thread.sleep(20);
            connection.send(answer);
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
   * The close of the connection to be reused is read in the same turn of the event loop as the
   * request.
   */
  @Test
  void requestCrossingABackendClose_getsAnotherConnection() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Connection> connections = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          connections.add(connection);
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call(harness.newRequest("pay"));
      Thread.sleep(RESTED_MILLIS);
      for (boolean reset : new boolean[] {false, true}) {
        CountDownLatch release = harness.blockEventLoop();
        String[] command = harness.newRequest("pay");
        client.send(RespClient.encodeCommand(command));
        Thread.sleep(20);
        connections.get(connections.size() - 1).close(reset);
        Thread.sleep(20);
        release.countDown();
        assertEquals("value of " + command[2], client.readReply());
        Thread.sleep(RESTED_MILLIS);
      }
    }
  }

  /** Bytes on a connection that would be reused, even if they are part of a reply. */
  @Test
  void bytesOnAnIdleConnection_closeIt() throws Exception {
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
        Thread.sleep(RESTED_MILLIS);
        connections.get(i).send("*3\r\n$5\r\nva");
        Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
      }
      assertEquals(3, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /** What is left of the client's timeout, not all of it. */
  @Test
  void retry_forwardsTheRemainingTimeout() throws Exception {
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

  /** No attempt starts for a request whose deadline has passed. */
  @Test
  void expiredRequest_isNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call(harness.newRequest("look"));
      Thread.sleep(RESTED_MILLIS);
      String[] command = harness.newRequest("look");
      command[3] = command[3].replace("d=1500", "d=1");
      assertTrue(client.call(command).startsWith("-"));
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }
}
