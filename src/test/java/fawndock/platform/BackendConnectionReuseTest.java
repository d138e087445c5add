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
 * Ends of attempts: late copies, connections that the worker ends, and what a further attempt is
 * told.
 */
class BackendConnectionReuseTest {
  private static final long RESTED_MILLIS = 80;

  /** A second copy some milliseconds behind an answer is no answer to the next request. */
  @Test
  void aSecondCopyAfterAPauseAnswersNobody() throws Exception {
    AtomicInteger many = new AtomicInteger();
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          String answer = FakeRespServer.backendResponse("value of " + words.get(2), "backlog=0");
          link.send(answer);
          if (many.getAndIncrement() == 0) {
            Thread.sleep(20);
            link.send(answer);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      for (int i = 0; i < 4; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.call(words));
        Thread.sleep(10);
      }
    }
  }

  /**
   * The connection to be used again has ended by then: its close is found in the turn of the
   * request.
   */
  @Test
  void aRequestThatMeetsAWorkersCloseGetsAnotherConnection() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Connection> links = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          links.add(link);
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      client.call(service.request("pay"));
      Thread.sleep(RESTED_MILLIS);
      for (boolean reset : new boolean[] {false, true}) {
        CountDownLatch release = service.hold();
        String[] words = service.request("pay");
        client.send(RespClient.encodeCommand(words));
        Thread.sleep(20);
        links.get(links.size() - 1).close(reset);
        Thread.sleep(20);
        release.countDown();
        assertEquals("value of " + words[2], client.readReply());
        Thread.sleep(RESTED_MILLIS);
      }
    }
  }

  /** Noise that came on the connection to be used again, half a reply too. */
  @Test
  void bytesOnAnIdleConnectionEndIt() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Connection> links = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          links.add(link);
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      for (int i = 0; i < 3; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.call(words));
        Thread.sleep(RESTED_MILLIS);
        links.get(i).send("*3\r\n$5\r\nva");
        Await.until(() -> service.world.backend.openCount() == 0);
      }
      assertEquals(3, service.world.backend.acceptedCount());
    }
  }

  /** What is left to the client, not what there was at first. */
  @Test
  void aFurtherAttemptTellsWhatIsLeft() throws Exception {
    List<Integer> told = new CopyOnWriteArrayList<>();
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          told.add(Integer.parseInt(words.get(3).replaceAll(".*,d=([0-9]+).*", "$1")));
          if (told.size() == 1) {
            Thread.sleep(100);
            link.send("-BUSY\r\n");
          } else {
            FakeRespServer.backendHandler().onCommand(words, link);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      String[] words = service.request("look");
      assertEquals("value of " + words[2], client.call(words));
      assertTrue(told.get(0) <= 1_500 && told.get(1) <= told.get(0) - 100, told.toString());
    }
  }

  /** No attempt begins for a request whose time was up while the loop was held. */
  @Test
  void noAttemptBeginsWithNoTimeLeft() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      client.call(service.request("look"));
      Thread.sleep(RESTED_MILLIS);
      String[] words = service.request("look");
      words[3] = words[3].replace("d=1500", "d=1");
      assertTrue(client.call(words).startsWith("-"));
      assertEquals(1, service.world.backend.commandCount());
    }
  }
}
