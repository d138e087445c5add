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

/** Tests each row of the platform's table of attempt outcomes, and malformed replies. */
class AttemptOutcomeTest {
  /** Returns a handler that passes the first command to {@code first} and serves all others. */
  private static FakeRespServer.CommandHandler handlerWithFirstReply(
      FakeRespServer.CommandHandler first) {
    AtomicInteger commandCount = new AtomicInteger();
    return (command, connection) -> {
      if (commandCount.getAndIncrement() == 0) {
        first.onCommand(command, connection);
      } else {
        FakeRespServer.backendHandler().onCommand(command, connection);
      }
    };
  }

  /**
   * Returns the kind of the client's response if {@code first} handles the first attempt, and the
   * number of attempts that the backend has read.
   */
  private static Map.Entry<String, Integer> responseAndAttempts(
      String type, FakeRespServer.CommandHandler first) throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(handlerWithFirstReply(first), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest(type);
      String response = client.call(command);
      return Map.entry(
          response.equals("value of " + command[2]) ? "served" : response.split(" ", 0)[0],
          harness.platform.backend.commandCount());
    }
  }

  @Test
  void servedRequest_returnsValueAndForwardsCommandUnchangedExceptForTimeout() throws Exception {
    Map<String, String> commandsById = new ConcurrentHashMap<>();
    try (PlatformHarness harness =
            new PlatformHarness(
                (command, connection) -> {
                  commandsById.put(command.get(2), String.join(" ", command));
                  FakeRespServer.backendHandler().onCommand(command, connection);
                },
                FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] command = harness.newRequest("note");
      assertEquals(
          "value of " + command[2],
          client.call(command[0], command[1], command[2], command[3], "BODY \r\n $5"));
      String forwarded = commandsById.get(command[2]);
      assertTrue(
          forwarded.matches(
              "Q\\.DO "
                  + command[1]
                  + " "
                  + command[2]
                  + " c=note,t=large,d=1[0-9]{3},k=5c0f6e1a2b3d4c59,units=1,"
                  + "spread=1,first=0 BODY \r\n \\$5"),
          forwarded);
    }
  }

  @Test
  void errorReply_isNotRetriedBecauseRequestMayHaveRun() throws Exception {
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts(
            "pay", (command, connection) -> connection.send("-ERR failed backlog=3\r\n")));
  }

  @Test
  void busyReply_isRetriedBecauseRequestDidNotRun() throws Exception {
    assertEquals(
        Map.entry("served", 2),
        responseAndAttempts(
            "pay", (command, connection) -> connection.send("-BUSY backlog=9\r\n")));
  }

  @Test
  void connectionLossAfterLastByte_isNotRetriedBecauseRequestMayHaveRun() throws Exception {
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts("pay", (command, connection) -> connection.close(true)));
    assertEquals(
        Map.entry("-ERR", 1),
        responseAndAttempts("pay", (command, connection) -> connection.close(false)));
  }

  @Test
  void refusedConnection_rejectsRequestBecauseItDidNotRun() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      harness.platform.backend.close();
      assertTrue(client.call(harness.newRequest("pay")).startsWith("-BUSY"));
    }
  }

  @Test
  void malformedReplies_failTheRequestAndCloseTheConnection() throws Exception {
    AtomicReference<String> nextReply = new AtomicReference<>();
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          String malformed = nextReply.getAndSet(null);
          connection.send(
              malformed == null
                  ? FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0")
                  : malformed);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      int acceptedBefore = 0;
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
        nextReply.set(malformed);
        assertTrue(client.call(harness.newRequest("pay")).startsWith("-ERR"), malformed);
        assertTrue(harness.platform.backend.acceptedConnectionCount() > acceptedBefore, malformed);
        acceptedBefore = harness.platform.backend.acceptedConnectionCount();
      }
      Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
    }
  }

  @Test
  void duplicateReply_isNotTakenForReplyToNextRequest() throws Exception {
    FakeRespServer.CommandHandler duplicatingBackend =
        (command, connection) -> {
          String response =
              FakeRespServer.backendResponse("value of " + command.get(2), "queue=x,noise");
          connection.send(response + response);
        };
    try (PlatformHarness harness =
            new PlatformHarness(duplicatingBackend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 5; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
      }
      assertEquals(5, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /**
   * Bytes after a reply may be the start of a duplicate; they must not become part of the next
   * reply.
   */
  @Test
  void partialReplyAfterReply_isNotPartOfNextReply() throws Exception {
    FakeRespServer.CommandHandler backend =
        (command, connection) ->
            connection.send(
                FakeRespServer.backendResponse("value of " + command.get(2), "backlog=0")
                    + "*3\r\n$5\r\nva");
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      for (int i = 0; i < 3; i++) {
        String[] command = harness.newRequest("pay");
        assertEquals("value of " + command[2], client.call(command));
        Thread.sleep(10); // Long enough that the next request does not follow immediately.
      }
      assertEquals(3, harness.platform.backend.acceptedConnectionCount());
    }
  }

  /**
   * The backend closes idle connections after 3 s; a request sent at that moment would end in a
   * reset.
   */
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
    CountDownLatch commandReceived = new CountDownLatch(1);
    try (PlatformHarness harness =
        new PlatformHarness(
            handlerWithFirstReply((command, connection) -> commandReceived.countDown()),
            FakeRespServer.counterHandler())) {
      RespClient client = harness.connectClient();
      client.send(RespClient.encodeCommand(harness.newRequest("pay")));
      commandReceived.await();
      client.close();
      Await.until(() -> harness.platform.backend.openConnectionCount() == 0);
    }
  }

  @Test
  void malformedLoadReport_isIgnored() {
    assertEquals(
        new LoadReport.Builder().queuedRequests(2).build(),
        BackendReply.of(reply("backlog=2,recent_ms=soon,=,x,throughput=-1")).loadReport());
    assertEquals(LoadReport.NONE, BackendReply.of(reply("\u0000\u00ff")).loadReport());
    assertNotEquals(null, BackendReply.of(reply("")).value());
  }

  private static Reply reply(String load) {
    return new Reply('*', null, List.of(bulk("value"), new Reply('$', null, null), bulk(load)));
  }

  private static Reply bulk(String text) {
    return new Reply('$', text.getBytes(StandardCharsets.ISO_8859_1), null);
  }
}
