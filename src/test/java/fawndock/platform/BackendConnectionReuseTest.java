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
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          String answer = FakeRespServer.served("value of " + words.get(2), "backlog=0");
          link.send(answer);
          if (many.getAndIncrement() == 0) {
            Thread.sleep(20);
            link.send(answer);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        RespClient client = service.client()) {
      for (int i = 0; i < 4; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.ask(words));
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
    CopyOnWriteArrayList<FakeRespServer.Link> links = new CopyOnWriteArrayList<>();
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          links.add(link);
          FakeRespServer.worker().command(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        RespClient client = service.client()) {
      client.ask(service.request("pay"));
      Thread.sleep(RESTED_MILLIS);
      for (boolean reset : new boolean[] {false, true}) {
        CountDownLatch release = service.hold();
        String[] words = service.request("pay");
        client.send(RespClient.command(words));
        Thread.sleep(20);
        links.get(links.size() - 1).end(reset);
        Thread.sleep(20);
        release.countDown();
        assertEquals("value of " + words[2], client.answer());
        Thread.sleep(RESTED_MILLIS);
      }
    }
  }

  /** Noise that came on the connection to be used again, half a reply too. */
  @Test
  void bytesOnAnIdleConnectionEndIt() throws Exception {
    CopyOnWriteArrayList<FakeRespServer.Link> links = new CopyOnWriteArrayList<>();
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          links.add(link);
          FakeRespServer.worker().command(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        RespClient client = service.client()) {
      for (int i = 0; i < 3; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.ask(words));
        Thread.sleep(RESTED_MILLIS);
        links.get(i).send("*3\r\n$5\r\nva");
        Await.until(() -> service.world.worker.open() == 0);
      }
      assertEquals(3, service.world.worker.accepted());
    }
  }

  /** What is left to the client, not what there was at first. */
  @Test
  void aFurtherAttemptTellsWhatIsLeft() throws Exception {
    List<Integer> told = new CopyOnWriteArrayList<>();
    FakeRespServer.Behaviour worker =
        (words, link) -> {
          told.add(Integer.parseInt(words.get(3).replaceAll(".*,d=([0-9]+).*", "$1")));
          if (told.size() == 1) {
            Thread.sleep(100);
            link.send("-BUSY\r\n");
          } else {
            FakeRespServer.worker().command(words, link);
          }
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counter());
        RespClient client = service.client()) {
      String[] words = service.request("look");
      assertEquals("value of " + words[2], client.ask(words));
      assertTrue(told.get(0) <= 1_500 && told.get(1) <= told.get(0) - 100, told.toString());
    }
  }

  /** No attempt begins for a request whose time was up while the loop was held. */
  @Test
  void noAttemptBeginsWithNoTimeLeft() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.worker(), FakeRespServer.counter());
        RespClient client = service.client()) {
      client.ask(service.request("look"));
      Thread.sleep(RESTED_MILLIS);
      String[] words = service.request("look");
      words[3] = words[3].replace("d=1500", "d=1");
      assertTrue(client.ask(words).startsWith("-"));
      assertEquals(1, service.world.worker.commands());
    }
  }
}
