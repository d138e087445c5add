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
 * Ends of clients' connections, with bytes or requests that cross them: the event loop is held
 * until both have happened.
 */
class ClientDisconnectTest {
  /** Longer than a connection to a worker rests: it is used again. */
  private static final long RESTED_MILLIS = 80;

  private static Socket socket(PlatformHarness service) throws Exception {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), service.world.port());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The line that comes; any exception is a failure. */
  private static String line(InputStream in) throws Exception {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.append((char) b);
    }
    return line.toString().trim();
  }

  @Test
  void aCloseOverUnreadBytesIsNoReset() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket bad = socket(service)) {
      CountDownLatch release = service.hold();
      send(bad, "*x\r\n" + "y".repeat(100_000));
      release.countDown();
      assertTrue(line(bad.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, bad.getInputStream().read()); // Not a reset: that would be an exception.
    }
  }

  @Test
  void whatIsReadAfterTheHalfCloseIsNotSentOn() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        Socket bad = socket(service);
        RespClient usual = service.client()) {
      send(bad, "*x\r\n");
      assertTrue(line(bad.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, bad.getInputStream().read());
      send(bad, RespClient.encodeCommand(service.request("pay")));
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.call(words));
      assertEquals(1, service.world.backend.commandCount());
    }
  }

  /**
   * A connection that is evicted in the turn in which its request comes: answered, or closed
   * unread; never both or neither.
   */
  @Test
  void aRequestThatCrossesAnEvictionIsAnsweredOrNeverSentOn() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient silent = service.client();
      Await.until(() -> service.daemon.gateway().clientListener().connectionCount() == 1);
      int most = (int) (0.45 * 64);
      CountDownLatch release = service.hold();
      RespClient[] others = new RespClient[most];
      for (int i = 0; i < most; i++) {
        others[i] = service.client();
      }
      String[] words = service.request("pay");
      silent.send(RespClient.encodeCommand(words));
      release.countDown();
      String answer = silent.readReply();
      others[most - 1].call("PING");
      assertEquals(answer == null ? 0 : 1, service.world.backend.commandCount());
      assertTrue(answer == null || answer.equals("value of " + words[2]), answer);
    }
  }

  @Test
  void nothingIsSentForAClientThatLeftWhileItWasCounted() throws Exception {
    CountDownLatch[] counting = {null};
    FakeRespServer.CommandHandler counter =
        (words, link) -> {
          if (counting[0] != null) {
            counting[0].await();
          }
          FakeRespServer.counterHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(FakeRespServer.backendHandler(), counter);
        RespClient usual = service.client()) {
      usual.call(service.request("pay"));
      Thread.sleep(RESTED_MILLIS);
      counting[0] = new CountDownLatch(1);
      RespClient leaving = service.client();
      int calls = service.world.counter.commandCount();
      leaving.send(RespClient.encodeCommand(service.request("pay")));
      Await.until(() -> service.world.counter.commandCount() > calls);
      CountDownLatch release = service.hold();
      counting[0]
          .countDown(); // Its answer comes first, then the close; both are found in one turn.
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      counting[0] = null;
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.call(words));
      assertEquals(2, service.world.backend.commandCount());
    }
  }

  @Test
  void nothingIsSentAgainForAClientThatLeftMeanwhile() throws Exception {
    CountDownLatch[] working = {null};
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          if (working[0] != null) {
            working[0].await();
            link.send("-ERR failed\r\n");
          } else {
            FakeRespServer.backendHandler().onCommand(words, link);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient usual = service.client();
        FakeRespServer second = new FakeRespServer(worker)) {
      Await.until(() -> service.world.discovery.watchCount() == 1);
      service.world.discovery.sendEvent(
          FakeDiscoveryServer.endpointListJson(
              9, false, "w2", "127.0.0.1:" + second.port(), "ready"));
      Await.until(
          () -> {
            usual.call(service.request("look"));
            return second.commandCount() > 0 && service.world.backend.commandCount() > 0;
          });
      Thread.sleep(RESTED_MILLIS);
      working[0] = new CountDownLatch(1);
      int before = second.commandCount() + service.world.backend.commandCount();
      RespClient leaving = service.client();
      leaving.send(RespClient.encodeCommand(service.request("look")));
      Await.until(() -> second.commandCount() + service.world.backend.commandCount() == before + 1);
      CountDownLatch release = service.hold();
      working[0].countDown();
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      working[0] = null;
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.call(words));
      assertEquals(before + 2, second.commandCount() + service.world.backend.commandCount());
    }
  }

  /** One that does not read its answers is seen to leave before the time for that is up. */
  @Test
  void leavingIsSeenWhileAnswersAreNotRead() throws Exception {
    CountDownLatch hang = new CountDownLatch(1);
    CountDownLatch asked = new CountDownLatch(1);
    String large = "v".repeat(60_000);
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            asked.countDown();
            hang.await();
          }
          link.send(FakeRespServer.backendResponse(large, "backlog=0"));
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        Socket client = new Socket()) {
      client.setReceiveBufferSize(4_096);
      client.connect(new java.net.InetSocketAddress("127.0.0.1", service.world.port()));
      for (int i = 0; i < 60; i++) {
        send(client, RespClient.encodeCommand(service.request("look")));
      }
      String[] words = service.request("pay");
      words[3] = words[3].replace("d=1500", "d=60000");
      send(client, RespClient.encodeCommand(words));
      assertTrue(
          asked.await(
              10,
              java.util.concurrent.TimeUnit
                  .SECONDS)); // Of those before it a few may have been refused, where the machine
      // is slow.
      Thread.sleep(200); // All 3.6 MB have been written, as far as they go.
      CountDownLatch late = new CountDownLatch(1);
      service
          .daemon
          .context()
          .runOnContext(
              v ->
                  service
                      .daemon
                      .gateway()
                      .runner()
                      .timers()
                      .schedule(ClientListener.UNREAD_TIMEOUT_MICROS / 2, late::countDown));
      client.close();
      Await.until(() -> service.daemon.gateway().runner().openCount() == 0);
      assertEquals(1, late.getCount());
      hang.countDown();
    }
  }

  @Test
  void aStopAnswersAllThatCameAndEndsConnectionsInOrder() throws Exception {
    CountDownLatch hang = new CountDownLatch(1);
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            hang.await();
          }
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler())) {
      Socket resting = socket(service);
      send(resting, "*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", line(resting.getInputStream()));
      Socket half = socket(service);
      send(half, "*4\r\n$5\r\nQ.A");
      RespClient waiting = service.client();
      waiting.send(RespClient.encodeCommand(service.request("pay")));
      Await.until(() -> service.world.backend.commandCount() == 1);
      service.daemon.stop();
      service.daemon.stop();
      RespClient late = service.client();
      String[] words = service.request("look");
      assertEquals("value of " + words[2], late.call(words));
      assertTrue(waiting.readReply().startsWith("-ERR"));
      assertNull(waiting.readReply());
      assertEquals(-1, resting.getInputStream().read());
      assertEquals(-1, half.getInputStream().read());
      assertEquals(0, service.stop());
      hang.countDown();
    }
  }

  /** A request that comes in the turn in which the stop closes what is quiet. */
  @Test
  void aRequestThatCrossesAStopIsAnsweredOrNeverSentOn() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      client.call("PING");
      service.daemon.stop();
      CountDownLatch release = service.hold();
      String[] words = service.request("pay");
      CountDownLatch drained = new CountDownLatch(1);
      service
          .daemon
          .context()
          .runOnContext(
              v -> {
                client.sendUnchecked(RespClient.encodeCommand(words));
                service.daemon.gateway().clientListener().drain(drained::countDown);
              });
      release.countDown();
      String answer = client.readReply();
      client.close();
      drained.await();
      assertEquals(answer == null ? 0 : 1, service.world.backend.commandCount());
      assertTrue(answer == null || answer.equals("value of " + words[2]), answer);
    }
  }
}
