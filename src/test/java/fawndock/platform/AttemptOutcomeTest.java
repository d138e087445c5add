package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.event.LoadReport;
import fawndock.resp.Reply;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** The platform's table of attempt outcomes, row by row, and malformed replies. */
class AttemptOutcomeTest {
  /** Handles the first attempt as given, and all others well. */
  private static FakeRespServer.CommandHandler handlerWithFirstReply(
      FakeRespServer.CommandHandler first) {
    AtomicInteger many = new AtomicInteger();
    return (command, connection) -> {
      if (many.getAndIncrement() == 0) {
        first.onCommand(command, connection);
      } else {
        FakeRespServer.backendHandler().onCommand(command, connection);
      }
    };
  }

  /**
   * Returns the client's response when the first attempt ends like this, and how many attempts the
   * backend read.
   */
  private static Map.Entry<String, Integer> responseAndAttempts(
      String type, FakeRespServer.CommandHandler first) throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(handlerWithFirstReply(first), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest(type);
      String answer = client.call(command);
      return Map.entry(
          answer.equals("value of " + command[2]) ? "served" : answer.split(" ", 0)[0],
          harness.platform.backend.commandCount());
    }
  }

  @Test
  void servedRequest_returnsValueAndForwardsCommandUnchangedButForTimeout() throws Exception {
    Map<String, String> lists = new ConcurrentHashMap<>();
    try (PlatformHarness harness =
            new PlatformHarness(
                (command, connection) -> {
                  lists.put(command.get(2), String.join(" ", command));
                  FakeRespServer.backendHandler().onCommand(command, connection);
                },
                FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest("note");
      assertEquals(
          "value of " + command[2],
          client.call(command[0], command[1], command[2], command[3], "BODY \r\n $5"));
      String sent = lists.get(command[2]);
      assertTrue(
          sent.matches(
              "Q\\.DO "
                  + command[1]
                  + " "
                  + command[2]
                  + " c=note,t=large,d=1[0-9]{3},k=5c0f6e1a2b3d4c59,units=1,"
                  + "spread=1,first=0 BODY \r\n \\$5"),
          sent);
    }
  }

  @Test
  void errorReply_isNotRetriedAsItMayHaveRun() throws Exception {
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts(
            "pay", (command, connection) -> connection.send("-ERR failed backlog=3\r\n")));
  }

  @Test
  void busyReply_isRetriedAsItNeverRan() throws Exception {
    assertEquals(
        Map.entry("served", 2),
        responseAndAttempts(
            "pay", (command, connection) -> connection.send("-BUSY backlog=9\r\n")));
  }

  @Test
  void connectionLossAfterLastByte_isNotRetriedAsItMayHaveRun() throws Exception {
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts("pay", (command, connection) -> connection.close(true)));
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts("pay", (command, connection) -> connection.close(false)));
  }

  @Test
  void refusedConnection_isRejectedAsItNeverRan() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      harness.platform.backend.close();
      assertTrue(client.call(harness.newRequest("pay")).startsWith("-BUSY"));
    }
  }

  @Test
  void malformedReplies_failTheRequestAndCloseTheConnection() throws Exception {
    AtomicReference<String> next = new AtomicReference<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          String malformed = next.getAndSet(null);
          connection.send(
              malformed == null
                  ? FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0")
                  : malformed);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      int connections = 0;
      for (String malformed :
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
        next.set(malformed);
        assertTrue(client.call(harness.newRequest("pay")).startsWith("-ERR"), malformed);
        assertTrue(harness.platform.backend.acceptedConnectionCount() > connections, malformed);
        connections = harness.platform.backend.acceptedConnectionCount();
      }
      Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
    }
  }

  @Test
  void duplicateReply_isNeverTakenForTheNextRequests() throws Exception {
    FakeRespServer.CommandHandler duplicating =
        (command, connection) -> {
          String answer =
              FakeRespServer.backendResponse("value of " + command.get(2), "queue=x,noise");
          connection.send(answer + answer);
        };
    try (PlatformHarness harness =
            new PlatformHarness(duplicating, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 5; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
      }
      assertEquals(5, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /** Bytes behind a reply may be the beginning of another; they are no part of the next one. */
  @Test
  void partialReplyBehindAReply_isNeverPartOfTheNext() throws Exception {
    FakeRespServer.CommandHandler more =
        (command, connection) ->
            connection.send(
                FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0")
                    + "*3\r\n$5\r\nva");
    try (PlatformHarness harness = new PlatformHarness(more, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 3; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
        Thread.sleep(10); // Long enough for the next request to be a new one.
      }
      assertEquals(3, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /** The backend closes after 3 s; a request that crossed that would end as a reset. */
  @Test
  void idleConnections_areClosedBeforeTheBackendClosesThem() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      client.call(harness.newRequest("look"));
      assertEquals(1, harness.platform.backend.openConnectionCount());
      Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
    }
  }

  @Test
  void abandonedAttempt_closesItsConnection() throws Exception {
    CountDownLatch asked = new CountDownLatch(1);
    try (PlatformHarness harness =
        new PlatformHarness(
            handlerWithFirstReply((command, connection) -> asked.countDown()),
            FakeRespServer.counterHandler())) {
      RespClient client = harness.connectClient();
      client.send(RespClient.encodeCommand(harness.newRequest("pay")));
      asked.await();
      client.close();
      Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
    }
  }

  @Test
  void malformedLoadReport_isIgnored() {
    assertEquals(
        new LoadReport.Builder().queuedRequests(2).build(),
        BackendReply.of(reply("backlog=2,recent_ms=soon,=,x,throughput=-1")).load());
    assertEquals(LoadReport.NONE, BackendReply.of(reply("\u0000\u00ff")).load());
    assertNotEquals(null, BackendReply.of(reply("")).value());
  }

  private static Reply reply(String load) {
    return new Reply('*', null, List.of(bulk("value"), new Reply('$', null, null), bulk(load)));
  }

  private static Reply bulk(String text) {
    return new Reply('$', text.getBytes(StandardCharsets.ISO_8859_1), null);
  }
}
