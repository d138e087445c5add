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
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
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
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        Socket bad = socket(service);
        RespClient usual = service.client()) {
      send(bad, "*x\r\n");
      assertTrue(line(bad.getInputStream()).startsWith("-ERR"));
      assertEquals(-1, bad.getInputStream().read());
      send(bad, RespClient.command(service.request("pay")));
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.ask(words));
      assertEquals(1, service.world.worker.commands());
    }
  }

  /**
   * A connection that is evicted in the turn in which its request comes: answered, or closed
   * unread; never both or neither.
   */
  @Test
  void aRequestThatCrossesAnEvictionIsAnsweredOrNeverSentOn() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter(), 64)) {
      RespClient silent = service.client();
      Await.until(() -> service.daemon.gateway().clientListener().connectionCount() == 1);
      int most = (int) (0.45 * 64);
      CountDownLatch release = service.hold();
      RespClient[] others = new RespClient[most];
      for (int i = 0; i < most; i++) {
        others[i] = service.client();
      }
      String[] words = service.request("pay");
      silent.send(RespClient.command(words));
      release.countDown();
      String answer = silent.answer();
      others[most - 1].ask("PING");
      assertEquals(answer == null ? 0 : 1, service.world.worker.commands());
      assertTrue(answer == null || answer.equals("value of " + words[2]), answer);
    }
  }

  @Test
  void nothingIsSentForAClientThatLeftWhileItWasCounted() throws Exception {
    CountDownLatch[] counting = {null};
    FakeRespServer.Behaviour counter =
        (words, link) -> {
          if (counting[0] != null) {
            counting[0].await();
          }
          FakeRespServer.counter().command(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(FakeRespServer.worker(), counter);
        RespClient usual = service.client()) {
      usual.ask(service.request("pay"));
      Thread.sleep(RESTED_MILLIS);
      counting[0] = new CountDownLatch(1);
      RespClient leaving = service.client();
      int calls = service.world.counter.commands();
      leaving.send(RespClient.command(service.request("pay")));
      Await.until(() -> service.world.counter.commands() > calls);
      CountDownLatch release = service.hold();
      counting[0]
          .countDown(); // Its answer comes first, then the close; both are found in one turn.
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      counting[0] = null;
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.ask(words));
      assertEquals(2, service.world.worker.commands());
    }
  }

  @Test
  void nothingIsSentAgainForAClientThatLeftMeanwhile() throws Exception {
    CountDownLatch[] working = {null};
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          if (working[0] != null) {
            working[0].await();
            link.send("-ERR failed\r\n");
          } else {
            FakeRespServer.worker().command(words, link);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        RespClient usual = service.client();
        FakeRespServer second = new FakeRespServer(worker)) {
      Await.until(() -> service.world.catalog.watched() == 1);
      service.world.catalog.tell(
          FakeDiscoveryServer.list(9, false, "w2", "127.0.0.1:" + second.port(), "ready"));
      Await.until(
          () -> {
            usual.ask(service.request("look"));
            return second.commands() > 0 && service.world.worker.commands() > 0;
          });
      Thread.sleep(RESTED_MILLIS);
      working[0] = new CountDownLatch(1);
      int before = second.commands() + service.world.worker.commands();
      RespClient leaving = service.client();
      leaving.send(RespClient.command(service.request("look")));
      Await.until(() -> second.commands() + service.world.worker.commands() == before + 1);
      CountDownLatch release = service.hold();
      working[0].countDown();
      Thread.sleep(20);
      leaving.close();
      Thread.sleep(20);
      release.countDown();
      working[0] = null;
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.ask(words));
      assertEquals(before + 2, second.commands() + service.world.worker.commands());
    }
  }

  /** One that does not read its answers is seen to leave before the time for that is up. */
  @Test
  void leavingIsSeenWhileAnswersAreNotRead() throws Exception {
    CountDownLatch hang = new CountDownLatch(1);
    CountDownLatch asked = new CountDownLatch(1);
    String large = "v".repeat(60_000);
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            asked.countDown();
            hang.await();
          }
          link.send(FakeRespServer.served(large, "backlog=0"));
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        Socket client = new Socket()) {
      client.setReceiveBufferSize(4_096);
      client.connect(new java.net.InetSocketAddress("127.0.0.1", service.world.port()));
      for (int i = 0; i < 60; i++) {
        send(client, RespClient.command(service.request("look")));
      }
      String[] words = service.request("pay");
      words[3] = words[3].replace("d=1500", "d=60000");
      send(client, RespClient.command(words));
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
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            hang.await();
          }
          FakeRespServer.worker().command(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter())) {
      Socket resting = socket(service);
      send(resting, "*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", line(resting.getInputStream()));
      Socket half = socket(service);
      send(half, "*4\r\n$5\r\nQ.A");
      RespClient waiting = service.client();
      waiting.send(RespClient.command(service.request("pay")));
      Await.until(() -> service.world.worker.commands() == 1);
      service.daemon.stop();
      service.daemon.stop();
      RespClient late = service.client();
      String[] words = service.request("look");
      assertEquals("value of " + words[2], late.ask(words));
      assertTrue(waiting.answer().startsWith("-ERR"));
      assertNull(waiting.answer());
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
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client()) {
      client.ask("PING");
      service.daemon.stop();
      CountDownLatch release = service.hold();
      String[] words = service.request("pay");
      CountDownLatch drained = new CountDownLatch(1);
      service
          .daemon
          .context()
          .runOnContext(
              v -> {
                client.sendUnchecked(RespClient.command(words));
                service.daemon.gateway().clientListener().drain(drained::countDown);
              });
      release.countDown();
      String answer = client.answer();
      client.close();
      drained.await();
      assertEquals(answer == null ? 0 : 1, service.world.worker.commands());
      assertTrue(answer == null || answer.equals("value of " + words[2]), answer);
    }
  }
}
