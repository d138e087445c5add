package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Ends of client connections that cross bytes or requests: the event loop is blocked until both
 * have happened.
 */
class ClientDisconnectTest {
  /** Long enough for a backend connection to be reused. */
  private static final long RESTED_MILLIS = 80;

  private static Socket socket(PlatformHarness harness) throws Exception {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), harness.platform.port());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a line; any exception is a failure. */
  private static String line(InputStream in) throws Exception {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.append((char) b);
    }
    return line.toString().trim();
  }

  @Test
  void closeOverUnreadBytes_isNoReset() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket bad = socket(harness)) {
      CountDownLatch release = harness.blockEventLoop();
      send(bad, "*x\r\n" + "y".repeat(100_000));
      release.countDown();
      assertTrue(line(bad.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, bad.getInputStream().read()); // Not a reset: that would be an exception.
    }
  }

  @Test
  void requestAfterHalfClose_isNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket bad = socket(harness);
        RespClient wellBehaved = harness.connectClient()) {
      send(bad, "*x\r\n");
      assertTrue(line(bad.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, bad.getInputStream().read());
      send(bad, RespClient.encodeCommand(harness.newRequest("pay")));
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], wellBehaved.call(command));
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }

  /**
   * A connection is evicted in the turn in which its request comes: the request is answered, or
   * closed unread; never both or neither.
   */
  @Test
  void requestCrossingAnEviction_isServedOrNeverForwarded() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient silent = harness.connectClient();
      Await.until(() -> harness.process.gateway().clientListener().connectionCount() == 1);
      int most = (int) (0.45 * 64);
      CountDownLatch release = harness.blockEventLoop();
      RespClient[] others = new RespClient[most];
      for (int i = 0; i < most; i++) {
        others[i] = harness.connectClient();
      }
      String[] command = harness.newRequest("pay");
      silent.send(RespClient.encodeCommand(command));
      release.countDown();
      String answer = silent.readReply();
      others[most - 1].call("PING");
      assertEquals(answer == null ? 0 : 1, harness.platform.backend.commandCount());
      assertTrue(answer == null || answer.equals("value of " + command[2]), answer);
    }
  }

  @Test
  void disconnectDuringTheCounterCall_isNotForwarded() throws Exception {
    CountDownLatch[] counting = {null};
    FakeRespServer.CommandHandler counter =
        (command, connection) -> {
          if (counting[0] != null) {
            counting[0].await();
          }
          FakeRespServer.counterHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient wellBehaved = harness.connectClient()) {
      wellBehaved.call(harness.newRequest("pay"));
      Thread.sleep(RESTED_MILLIS);
      counting[0] = new CountDownLatch(1);
      RespClient leaving = harness.connectClient();
      int calls = harness.platform.counter.commandCount();
      leaving.send(RespClient.encodeCommand(harness.newRequest("pay")));
      Await.until(() -> harness.platform.counter.commandCount() > calls);
      CountDownLatch release = harness.blockEventLoop();
      counting[0].countDown(); // Its reply comes first, then the close; both are read in one turn.
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      counting[0] = null;
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], wellBehaved.call(command));
      assertEquals(2, harness.platform.backend.commandCount());
    }
  }

  @Test
  void disconnectDuringTheAttempt_isNotRetried() throws Exception {
    CountDownLatch[] working = {null};
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (working[0] != null) {
            working[0].await();
            connection.send("-ERR failed\r\n");
          } else {
            FakeRespServer.backendHandler().onCommand(command, connection);
          }
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient wellBehaved = harness.connectClient();
        FakeRespServer second = new FakeRespServer(backend)) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              9, false, "w2", "127.0.0.1:" + second.port(), "ready"));
      Await.until(
          () -> {
            wellBehaved.call(harness.newRequest("look"));
            return second.commandCount() > 0 && harness.platform.backend.commandCount() > 0;
          });
      Thread.sleep(RESTED_MILLIS);
      working[0] = new CountDownLatch(1);
      int before = second.commandCount() + harness.platform.backend.commandCount();
      RespClient leaving = harness.connectClient();
      leaving.send(RespClient.encodeCommand(harness.newRequest("look")));
      Await.until(
          () -> second.commandCount() + harness.platform.backend.commandCount() == before + 1);
      CountDownLatch release = harness.blockEventLoop();
      working[0].countDown();
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      working[0] = null;
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], wellBehaved.call(command));
      assertEquals(before + 2, second.commandCount() + harness.platform.backend.commandCount());
    }
  }

  /** The disconnect is noticed before the time limit for clients that do not read. */
  @Test
  void disconnectOfAClientThatDoesNotRead_isNoticed() throws Exception {
    CountDownLatch hang = new CountDownLatch(1);
    CountDownLatch asked = new CountDownLatch(1);
    String large = "v".repeat(60_000);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            asked.countDown();
            hang.await();
          }
          connection.send(FakeRespServer.backendResponse(large, "backlog=0"));
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        Socket client = new Socket()) {
      client.setReceiveBufferSize(4_096);
      client.connect(new java.net.InetSocketAddress("127.0.0.1", harness.platform.port()));
      for (int i = 0; i < 60; i++) {
        send(client, RespClient.encodeCommand(harness.newRequest("look")));
      }
      String[] command = harness.newRequest("pay");
      command[3] = command[3].replace("d=1500", "d=60000");
      send(client, RespClient.encodeCommand(command));
      assertTrue(
          asked.await(
              10,
              java.util.concurrent.TimeUnit
                  .SECONDS)); // Of those before it a few may have been refused, where the machine
      // is slow.
      Thread.sleep(200); // All 3.6 MB have been written, as far as they go.
      CountDownLatch late = new CountDownLatch(1);
      harness
          .process
          .context()
          .runOnContext(
              v ->
                  harness
                      .process
                      .gateway()
                      .runner()
                      .timers()
                      .schedule(ClientListener.UNREAD_TIMEOUT_MICROS / 2, late::countDown));
      client.close();
      Await.until(() -> harness.process.gateway().runner().openRequestCount() == 0);
      assertEquals(1, late.getCount());
      hang.countDown();
    }
  }

  @Test
  void shutdown_answersAllRequestsAndClosesAllConnections() throws Exception {
    CountDownLatch hang = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            hang.await();
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler())) {
      Socket resting = socket(harness);
      send(resting, "*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", line(resting.getInputStream()));
      Socket half = socket(harness);
      send(half, "*4\r\n$5\r\nQ.A");
      RespClient waiting = harness.connectClient();
      waiting.send(RespClient.encodeCommand(harness.newRequest("pay")));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      harness.process.stop();
      harness.process.stop();
      RespClient late = harness.connectClient();
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], late.call(command));
      assertTrue(waiting.readReply().startsWith("-ERR"));
      assertNull(waiting.readReply());
      assertEquals(-1, resting.getInputStream().read());
      assertEquals(-1, half.getInputStream().read());
      assertEquals(0, harness.stop());
      hang.countDown();
    }
  }

  /** A request comes in the turn in which the shutdown closes idle connections. */
  @Test
  void requestCrossingAShutdown_isServedOrNeverForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call("PING");
      harness.process.stop();
      CountDownLatch release = harness.blockEventLoop();
      String[] command = harness.newRequest("pay");
      CountDownLatch drained = new CountDownLatch(1);
      harness
          .process
          .context()
          .runOnContext(
              v -> {
                client.sendUnchecked(RespClient.encodeCommand(command));
                harness.process.gateway().clientListener().drain(drained::countDown);
              });
      release.countDown();
      String answer = client.readReply();
      client.close();
      drained.await();
      assertEquals(answer == null ? 0 : 1, harness.platform.backend.commandCount());
      assertTrue(answer == null || answer.equals("value of " + command[2]), answer);
    }
  }
}
