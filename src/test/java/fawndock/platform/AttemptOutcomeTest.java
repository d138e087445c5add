package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.event.LoadReport;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * The platform's table of outcomes, row by row, and spoilt answers; each worker answers as its case
 * says.
 */
class AttemptOutcomeTest {
  /** Answers the first attempt of all as given, and the others well. */
  private static FakeRespServer.CommandHandler first(FakeRespServer.CommandHandler odd) {
    AtomicInteger many = new AtomicInteger();
    return (words, link) -> {
      if (many.getAndIncrement() == 0) {
        odd.onCommand(words, link);
      } else {
        FakeRespServer.backendHandler().onCommand(words, link);
      }
    };
  }

  /**
   * What a client is answered when the first attempt ends so, by class, and how many commands the
   * worker read.
   */
  private static Map.Entry<String, Integer> answer(String type, FakeRespServer.CommandHandler odd)
      throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(first(odd), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      String[] words = service.request(type);
      String answer = client.call(words);
      return Map.entry(
          answer.equals("value of " + words[2]) ? "served" : answer.split(" ")[0],
          service.world.backend.commandCount());
    }
  }

  @Test
  void servedIsTheValueAndTheCommandIsUnchangedButForTheTime() throws Exception {
    Map<String, String> lists = new ConcurrentHashMap<>();
    try (PlatformHarness service =
            new PlatformHarness(
                (words, link) -> {
                  lists.put(words.get(2), String.join(" ", words));
                  FakeRespServer.backendHandler().onCommand(words, link);
                },
                FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      String[] words = service.request("note");
      assertEquals(
          "value of " + words[2],
          client.call(words[0], words[1], words[2], words[3], "BODY \r\n $5"));
      String sent = lists.get(words[2]);
      assertTrue(
          sent.matches(
              "Q\\.DO "
                  + words[1]
                  + " "
                  + words[2]
                  + " c=note,t=large,d=1[0-9]{3},k=5c0f6e1a2b3d4c59,units=1,"
                  + "spread=1,first=0 BODY \r\n \\$5"),
          sent);
    }
  }

  @Test
  void anErrorMayHaveRun() throws Exception {
    assertEquals(
        Map.entry("-ERR", 1),
        answer("pay", (words, link) -> link.send("-ERR failed backlog=3\r\n")));
  }

  @Test
  void busyNeverRanSoThatItIsSentAgain() throws Exception {
    assertEquals(
        Map.entry("served", 2), answer("pay", (words, link) -> link.send("-BUSY backlog=9\r\n")));
  }

  @Test
  void aBreakAfterTheLastByteMayHaveRun() throws Exception {
    assertEquals(Map.entry("-ERR", 1), answer("pay", (words, link) -> link.close(true)));
    assertEquals(Map.entry("-ERR", 1), answer("pay", (words, link) -> link.close(false)));
  }

  @Test
  void noConnectionNeverRan() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      service.world.backend.close();
      assertTrue(client.call(service.request("pay")).startsWith("-BUSY"));
    }
  }

  @Test
  void spoiltAnswersMayHaveRunAndEndTheConnection() throws Exception {
    AtomicReference<String> next = new AtomicReference<>();
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          String spoilt = next.getAndSet(null);
          link.send(
              spoilt == null
                  ? FakeRespServer.backendResponse("value of " + words.get(2), "backlog=0")
                  : spoilt);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      int connections = 0;
      for (String spoilt :
          new String[] {
            "noise\r\n",
            "$3000000000\r\nabc",
            "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            "$5\r\nvalue\r\n",
            "+OK\r\n",
            "*3\r\n$2\r\nvalue\r\n",
            "*9\r\n",
            ":7\r\n",
            "+" + "x".repeat(3_000),
            "*2\r\n$1\r\nv\r\n$-1\r\n"
          }) {
        next.set(spoilt);
        assertTrue(client.call(service.request("pay")).startsWith("-ERR"), spoilt);
        assertTrue(service.world.backend.acceptedCount() > connections, spoilt);
        connections = service.world.backend.acceptedCount();
      }
      Await.until(() -> service.world.backend.openCount() == 0);
    }
  }

  @Test
  void aSecondCopyNeverAnswersTheNextRequest() throws Exception {
    FakeRespServer.CommandHandler twice =
        (words, link) -> {
          String answer =
              FakeRespServer.backendResponse("value of " + words.get(2), "queue=x,noise");
          link.send(answer + answer);
        };
    try (PlatformHarness service = new PlatformHarness(twice, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      for (int i = 0; i < 5; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.call(words));
      }
      assertEquals(5, service.world.backend.acceptedCount());
    }
  }

  /**
   * What stands behind an answer may be the beginning of something; it is no part of the next one.
   */
  @Test
  void halfAReplyBehindAnAnswerIsNoPartOfTheNext() throws Exception {
    FakeRespServer.CommandHandler more =
        (words, link) ->
            link.send(
                FakeRespServer.backendResponse("value of " + words.get(2), "backlog=0")
                    + "*3\r\n$5\r\nva");
    try (PlatformHarness service = new PlatformHarness(more, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      for (int i = 0; i < 3; i++) {
        String[] words = service.request("pay");
        assertEquals("value of " + words[2], client.call(words));
        Thread.sleep(10); // Longer than a connection rests: it would be used again.
      }
      assertEquals(3, service.world.backend.acceptedCount());
    }
  }

  /** The worker would close at 3 s; a request that met that would end as a reset. */
  @Test
  void idleConnectionsAreClosedBeforeTheWorkerDoes() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      client.call(service.request("look"));
      assertEquals(1, service.world.backend.openCount());
      Await.until(() -> service.world.backend.openCount() == 0);
    }
  }

  @Test
  void anAttemptGivenUpEndsItsConnection() throws Exception {
    CountDownLatch asked = new CountDownLatch(1);
    try (PlatformHarness service =
        new PlatformHarness(
            first((words, link) -> asked.countDown()), FakeRespServer.counterHandler())) {
      RespClient client = service.client();
      client.send(RespClient.encodeCommand(service.request("pay")));
      asked.await();
      client.close();
      Await.until(() -> service.world.backend.openCount() == 0);
    }
  }

  @Test
  void anUnreadableReportCostsNothingButItself() {
    assertEquals(
        new LoadReport.Builder().queuedRequests(2).build(),
        BackendReply.of(reply("backlog=2,recent_ms=soon,=,x,throughput=-1")).load());
    assertEquals(LoadReport.NONE, BackendReply.of(reply("\u0000\u00ff")).load());
    assertNotEquals(null, BackendReply.of(reply("")).value());
  }

  private static fawndock.resp.Reply reply(String load) {
    return new fawndock.resp.Reply(
        '*',
        null,
        java.util.List.of(bulk("value"), new fawndock.resp.Reply('$', null, null), bulk(load)));
  }

  private static fawndock.resp.Reply bulk(String text) {
    return new fawndock.resp.Reply(
        '$', text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1), null);
  }
}
