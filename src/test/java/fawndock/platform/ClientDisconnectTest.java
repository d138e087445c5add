package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeDiscoveryServer;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests disconnects that coincide with incoming bytes or requests: the event loop is blocked until
 * both have happened, so that it reads them in one turn.
 */
class ClientDisconnectTest {
  /** Longer than the idle time after which a backend connection may be reused. */
  private static final long REUSABLE_AFTER_MILLIS = 80;

  private static Socket connectSocket(PlatformHarness harness) throws Exception {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), harness.platform.port());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a line; an exception, such as a reset, fails the test. */
  private static String readLine(InputStream in) throws Exception {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.append((char) b);
    }
    return line.toString().trim();
  }

  @Test
  void closeWithUnreadBytes_doesNotReset() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket misbehavingSocket = connectSocket(harness)) {
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      send(misbehavingSocket, "*x\r\n" + "y".repeat(100_000));
      releaseEventLoop.countDown();
      assertTrue(readLine(misbehavingSocket.getInputStream()).startsWith("-ERR"));
      // A reset would throw an exception.
      assertEquals(-1, misbehavingSocket.getInputStream().read());
    }
  }

  @Test
  void requestAfterHalfClose_isNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket misbehavingSocket = connectSocket(harness);
        RespClient conformingClient = harness.connectClient()) {
      send(misbehavingSocket, "*x\r\n");
      assertTrue(readLine(misbehavingSocket.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, misbehavingSocket.getInputStream().read());
      send(misbehavingSocket, RespClient.encodeCommand(harness.newRequest("pay")));
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], conformingClient.call(command));
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }

  /**
   * A connection is evicted in the turn in which its request arrives. The request is either served,
   * or not forwarded and its connection closed.
   */
  @Test
  void requestConcurrentWithEviction_isServedOrNotForwarded() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient silentClient = harness.connectClient();
      Await.until(() -> harness.process.gateway().clientListener().connectionCount() == 1);
      int maxClientConnections = (int) (0.45 * 64);
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      RespClient[] otherClients = new RespClient[maxClientConnections];
      for (int i = 0; i < maxClientConnections; i++) {
        otherClients[i] = harness.connectClient();
      }
      String[] command = harness.newRequest("pay");
      silentClient.send(RespClient.encodeCommand(command));
      releaseEventLoop.countDown();
      String response = silentClient.readReply();
      otherClients[maxClientConnections - 1].call("PING");
      assertEquals(response == null ? 0 : 1, harness.platform.backend.commandCount());
      assertTrue(response == null || response.equals("value of " + command[2]), response);
    }
  }

  @Test
  void disconnectDuringCounterCall_preventsForwarding() throws Exception {
    CountDownLatch[] counterLatch = {null};
    FakeRespServer.CommandHandler counter =
        (command, connection) -> {
          if (counterLatch[0] != null) {
            counterLatch[0].await();
          }
          FakeRespServer.counterHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient conformingClient = harness.connectClient()) {
      conformingClient.call(harness.newRequest("pay"));
      Thread.sleep(REUSABLE_AFTER_MILLIS);
      counterLatch[0] = new CountDownLatch(1);
      RespClient disconnectingClient = harness.connectClient();
      int counterCallsBefore = harness.platform.counter.commandCount();
      disconnectingClient.send(RespClient.encodeCommand(harness.newRequest("pay")));
      Await.until(() -> harness.platform.counter.commandCount() > counterCallsBefore);
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      // The counter's reply arrives first, then the close; both are read in one turn.
      counterLatch[0].countDown();
      Thread.sleep(20);
      disconnectingClient.close();
      Thread.sleep(20);
      releaseEventLoop.countDown();
      counterLatch[0] = null;
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], conformingClient.call(command));
      assertEquals(2, harness.platform.backend.commandCount());
    }
  }

  @Test
  void disconnectDuringAttempt_preventsRetry() throws Exception {
    CountDownLatch[] backendLatch = {null};
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (backendLatch[0] != null) {
            backendLatch[0].await();
            connection.send("-ERR failed\r\n");
          } else {
            FakeRespServer.backendHandler().onCommand(command, connection);
          }
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient conformingClient = harness.connectClient();
        FakeRespServer secondBackend = new FakeRespServer(backend)) {
      Await.until(() -> harness.platform.discovery.watchCount() == 1);
      harness.platform.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              9, false, "w2", "127.0.0.1:" + secondBackend.port(), "ready"));
      Await.until(
          () -> {
            conformingClient.call(harness.newRequest("look"));
            return secondBackend.commandCount() > 0 && harness.platform.backend.commandCount() > 0;
          });
      Thread.sleep(REUSABLE_AFTER_MILLIS);
      backendLatch[0] = new CountDownLatch(1);
      int attemptsBefore = secondBackend.commandCount() + harness.platform.backend.commandCount();
      RespClient disconnectingClient = harness.connectClient();
      disconnectingClient.send(RespClient.encodeCommand(harness.newRequest("look")));
      Await.until(
          () ->
              secondBackend.commandCount() + harness.platform.backend.commandCount()
                  == attemptsBefore + 1);
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      backendLatch[0].countDown();
      Thread.sleep(20);
      disconnectingClient.close();
      Thread.sleep(20);
      releaseEventLoop.countDown();
      backendLatch[0] = null;
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], conformingClient.call(command));
      assertEquals(
          attemptsBefore + 2,
          secondBackend.commandCount() + harness.platform.backend.commandCount());
    }
  }

  /** The disconnect is detected before the timeout for clients that do not read their responses. */
  @Test
  void disconnectOfClientThatDoesNotRead_isDetected() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    CountDownLatch commandReceived = new CountDownLatch(1);
    String largeValue = "v".repeat(60_000);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            commandReceived.countDown();
            releaseBackend.await();
          }
          connection.send(FakeRespServer.backendResponse(largeValue, "backlog=0"));
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
      // On a slow machine some of the requests before it may have been rejected.
      assertTrue(commandReceived.await(10, java.util.concurrent.TimeUnit.SECONDS));
      Thread.sleep(200); // As much of the 3.6 MB of responses as fits has been written by now.
      CountDownLatch timeLimitReached = new CountDownLatch(1);
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
                      .schedule(
                          ClientListener.UNREAD_RESPONSE_TIMEOUT_MICROS / 2,
                          timeLimitReached::countDown));
      client.close();
      Await.until(() -> harness.process.gateway().runner().openRequestCount() == 0);
      assertEquals(1, timeLimitReached.getCount());
      releaseBackend.countDown();
    }
  }

  /** Guards against requests that were forwarded while their client's close was still unread. */
  @Tag("known-red")
  @Test
  void disconnectBehindMuchUnread_preventsForwarding() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient conformingClient = harness.connectClient()) {
      conformingClient.call(harness.newRequest("pay"));
      Thread.sleep(REUSABLE_AFTER_MILLIS);
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < 50; i++) {
        String[] command = harness.newRequest("pay");
        command = Arrays.copyOf(command, command.length + 1);
        command[command.length - 1] = "b".repeat(60_000);
        commands.append(RespClient.encodeCommand(command));
      }
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
      Socket client = connectSocket(harness);
      CompletableFuture<Void> left =
          CompletableFuture.runAsync(
              () -> {
                try (client) {
                  send(client, commands.toString());
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      Thread.sleep(200);
      releaseEventLoop.countDown();
      left.get();
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], conformingClient.call(command));
      Await.until(() -> harness.process.gateway().runner().openRequestCount() == 0);
      assertEquals(2, harness.platform.backend.commandCount());
    }
  }

  /** Guards against a request that ran twice when its id came again after its client had left. */
  @Test
  void idOfRequestThatMayHaveRunUnanswered_isRefusedUntilItsDeadline() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          releaseBackend.await();
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient otherClient = harness.connectClient()) {
      String[] command = harness.newRequest("pay");
      String[] idempotentCommand = harness.newRequest("look");
      RespClient leavingClient = harness.connectClient();
      leavingClient.send(
          RespClient.encodeCommand(command) + RespClient.encodeCommand(idempotentCommand));
      Await.until(() -> harness.platform.backend.commandCount() == 2);
      leavingClient.close();
      Await.until(() -> harness.process.gateway().runner().openRequestCount() == 0);
      assertEquals("-ERR the id is open already", otherClient.call(command));
      assertEquals(2, harness.platform.backend.commandCount());
      releaseBackend.countDown();
      assertEquals("value of " + idempotentCommand[2], otherClient.call(idempotentCommand));
      Await.until(() -> otherClient.call(command).equals("value of " + command[2]));
    }
  }

  /**
   * Guards against a connection that was closed, with its answers, because its client wrote more
   * than a bound before it read.
   */
  @Test
  void clientThatWritesMuchBeforeItReads_getsAllItsResponses() throws Exception {
    String largeValue = "v".repeat(60_000);
    FakeRespServer.CommandHandler backend =
        (command, connection) ->
            connection.send(FakeRespServer.backendResponse(command.get(2) + largeValue, ""));
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        Socket client = new Socket()) {
      client.setReceiveBufferSize(4_096);
      client.setSoTimeout(10_000);
      client.connect(new java.net.InetSocketAddress("127.0.0.1", harness.platform.port()));
      List<String> ids = new ArrayList<>();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < 400; i++) {
        String[] command = harness.newRequest("look");
        ids.add(command[2]);
        command = Arrays.copyOf(command, command.length + 1);
        command[command.length - 1] = "b".repeat(2_000);
        commands.append(RespClient.encodeCommand(command));
        if (i == 50) {
          send(client, commands.toString());
          commands.setLength(0);
          Thread.sleep(500); // The responses fill the socket's buffers.
        }
      }
      CompletableFuture<Void> sent =
          CompletableFuture.runAsync(
              () -> {
                try {
                  send(client, commands.toString());
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      Thread.sleep(500);
      InputStream in = new BufferedInputStream(client.getInputStream(), 1 << 16);
      for (String id : ids) {
        String line = readLine(in);
        if (line.startsWith("$")) {
          byte[] value = in.readNBytes(Integer.parseInt(line.substring(1)) + 2);
          assertTrue(new String(value, StandardCharsets.ISO_8859_1).startsWith(id));
        } else {
          assertTrue(line.startsWith("-"), () -> id + " got '" + line + "'");
        }
      }
      sent.get();
    }
  }

  @Test
  void shutdown_respondsToAllRequestsAndClosesAllConnections() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            releaseBackend.await();
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler())) {
      Socket idleSocket = connectSocket(harness);
      send(idleSocket, "*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", readLine(idleSocket.getInputStream()));
      Socket incompleteSocket = connectSocket(harness);
      send(incompleteSocket, "*4\r\n$5\r\nQ.A");
      RespClient waitingClient = harness.connectClient();
      waitingClient.send(RespClient.encodeCommand(harness.newRequest("pay")));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      harness.process.stop();
      harness.process.stop();
      RespClient lateClient = harness.connectClient();
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], lateClient.call(command));
      assertTrue(waitingClient.readReply().startsWith("-ERR"));
      assertNull(waitingClient.readReply());
      assertEquals(-1, idleSocket.getInputStream().read());
      assertEquals(-1, incompleteSocket.getInputStream().read());
      assertEquals(0, harness.stop());
      releaseBackend.countDown();
    }
  }

  /** A request arrives in the turn in which the shutdown closes idle connections. */
  @Test
  void requestConcurrentWithShutdown_isServedOrNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call("PING");
      harness.process.stop();
      CountDownLatch releaseEventLoop = harness.blockEventLoop();
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
      releaseEventLoop.countDown();
      String response = client.readReply();
      client.close();
      drained.await();
      assertEquals(response == null ? 0 : 1, harness.platform.backend.commandCount());
      assertTrue(response == null || response.equals("value of " + command[2]), response);
    }
  }
}
