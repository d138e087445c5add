package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that misbehaving clients get an error or a close, and do not affect clients that conform to
 * the protocol.
 */
class ClientCommandTest {
  @Test
  void responses_areInCommandOrder() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            releaseBackend.await();
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] slowRequest = harness.newRequest("pay");
      String[] quickRequest = harness.newRequest("look");
      client.send(
          RespClient.encodeCommand(slowRequest)
              + RespClient.encodeCommand(quickRequest)
              + RespClient.encodeCommand("PING"));
      Await.until(() -> harness.platform.backend.commandCount() == 2);
      releaseBackend.countDown();
      assertEquals("value of " + slowRequest[2], client.readReply());
      assertEquals("value of " + quickRequest[2], client.readReply());
      assertEquals("+PONG", client.readReply());
    }
  }

  @Test
  void invalidInput_getsErrorAndIsNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient conformingClient = harness.connectClient()) {
      String validAttributes = "c=look,t=large,d=900,units=1,spread=1,first=0";
      List<String[]> invalidCommands = new ArrayList<>();
      for (String attributes :
          new String[] {
            "",
            "c=none,t=large,d=9,units=1,spread=1,first=0",
            validAttributes.replace("large", "none"),
            validAttributes.replace("d=900", "d=x"),
            validAttributes.replace("d=900", "d=-1"),
            validAttributes.replace("d=900", "d=0"),
            validAttributes.replace("d=900,", ""),
            validAttributes.replace("units=1", "units=0"),
            validAttributes.replace("units=1", "units=NaN"),
            validAttributes.replace("units=1", "units=99"),
            validAttributes.replace("spread=1", "spread=3"),
            validAttributes.replace("first=0", "first=2"),
            validAttributes.replace("first=0", "first=x"),
            validAttributes + ",d=5",
            "=" + validAttributes,
            validAttributes + "\n"
          }) {
        invalidCommands.add(
            new String[] {"Q.ASK", "0000000000000007", "00000000000000aa", attributes});
      }
      invalidCommands.add(new String[] {"Q.ASK", "0000000000000007", "", validAttributes});
      invalidCommands.add(
          new String[] {"Q.ASK", "0000000200000000", "00000000000000aa", validAttributes});
      invalidCommands.add(
          new String[] {"Q.ASK", "-000000000000007", "00000000000000aa", validAttributes});
      invalidCommands.add(new String[] {"Q.ASK", "0000000000000007", "00000000000000aa"});
      invalidCommands.add(
          new String[] {"Q.DO", "0000000000000007", "00000000000000aa", validAttributes});
      invalidCommands.add(
          new String[] {
            "Q.DO", "0000000000000007", "00000000000000aa", validAttributes.replace("look", "note")
          });
      invalidCommands.add(new String[] {"GET", "x"});
      for (String[] invalidCommand : invalidCommands) {
        assertTrue(
            conformingClient.call(invalidCommand).startsWith("-ERR"),
            String.join(" ", invalidCommand));
      }
      for (String malformedInput :
          new String[] {
            "noise\r\n",
            "*-1\r\n",
            "*99999999\r\n",
            "*1\r\n$-5\r\n",
            "*1\r\n$62914560\r\n",
            "*1\r\n$99999999999999999999\r\n",
            "*2\r\n$3\r\nabcd\r\n",
            "\u0000\u0001\u0002",
            "*" + "1".repeat(200)
          }) {
        try (RespClient misbehavingClient = harness.connectClient()) {
          assertTrue(
              misbehavingClient.send(malformedInput).readReply().startsWith("-ERR"),
              malformedInput);
          assertNull(misbehavingClient.readReply(), malformedInput);
        }
      }
      assertEquals(0, harness.platform.backend.commandCount());
      assertEquals(0, harness.platform.counter.commandCount());
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], conformingClient.call(command));
    }
  }

  @Test
  void incompleteCommandAndSilentConnection_areClosed() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient incompleteClient = harness.connectClient();
        RespClient silentClient = harness.connectClient();
        RespClient conformingClient = harness.connectClient()) {
      conformingClient.call("PING");
      incompleteClient.send("*4\r\n$5\r\nQ.A");
      assertTrue(incompleteClient.readReply().startsWith("-ERR"));
      assertNull(incompleteClient.readReply());
      assertNull(silentClient.readReply());
      assertEquals("+PONG", conformingClient.call("PING"));
    }
  }

  @Test
  void requestWithIdInFlight_isRejected() throws Exception {
    CountDownLatch releaseBackend = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          releaseBackend.await();
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient conformingClient = harness.connectClient();
        RespClient misbehavingClient = harness.connectClient()) {
      String[] command = harness.newRequest("pay");
      conformingClient.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      assertEquals("-ERR the id is open already", misbehavingClient.call(command));
      releaseBackend.countDown();
      assertEquals("value of " + command[2], conformingClient.readReply());
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }

  /** Guards against commands beyond the limit that were read and never answered. */
  @ParameterizedTest
  @ValueSource(ints = {65, 200, 20_000})
  void commandsBeyondTheLimit_areAllAnsweredAndLeaveTheConnectionUsable(int commandCount)
      throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      List<String> ids = new ArrayList<>();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < commandCount; i++) {
        String[] command = harness.newRequest("look");
        ids.add(command[2]);
        commands.append(RespClient.encodeCommand(command));
      }
      CompletableFuture<Void> sent =
          CompletableFuture.runAsync(() -> client.sendUnchecked(commands.toString()));
      int servedCount = 0;
      for (String id : ids) {
        String response = client.readReply();
        boolean isServed = ("value of " + id).equals(response);
        assertTrue(isServed || response.startsWith("-BUSY"), () -> id + " got " + response);
        servedCount += isServed ? 1 : 0;
      }
      sent.get();
      assertTrue(servedCount > 0);
      assertEquals(servedCount, harness.platform.backend.commandCount());
      assertEquals("+PONG", client.call("PING"));
    }
  }

  /**
   * Guards against a connection that was closed 2 s after the command beyond the limit while
   * requests that had run waited for a slow one.
   */
  @Test
  void commandsBeyondTheLimit_behindASlowRequest_areAllAnswered() throws Exception {
    assertAllAnsweredBehindSlowRequest(70, "");
  }

  /** The same with an error behind commands within the limit: it comes last, then the close. */
  @Test
  void malformedCommand_behindASlowRequest_getsItsErrorAfterAllResponses() throws Exception {
    assertAllAnsweredBehindSlowRequest(60, "*x\r\n");
  }

  private static void assertAllAnsweredBehindSlowRequest(int commandCount, String lastBytes)
      throws Exception {
    String[] slowId = {null};
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(2).equals(slowId[0])) {
            Thread.sleep(ClientListener.COMMAND_TIMEOUT_MICROS / 1_000 + 600);
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      List<String> ids = new ArrayList<>();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < commandCount; i++) {
        String[] command = harness.newRequest("pay");
        command[3] = command[3].replace("d=1500", "d=6000");
        ids.add(command[2]);
        commands.append(RespClient.encodeCommand(command));
      }
      slowId[0] = ids.get(0);
      client.send(commands + lastBytes);
      int servedCount = 0;
      for (String id : ids) {
        String response = client.readReply();
        boolean isServed = ("value of " + id).equals(response);
        assertTrue(
            isServed || (response != null && response.startsWith("-BUSY")),
            () -> id + " got " + response);
        servedCount += isServed ? 1 : 0;
      }
      assertEquals(servedCount, harness.platform.backend.commandCount());
      if (lastBytes.isEmpty()) {
        assertEquals("+PONG", client.call("PING"));
      } else {
        assertTrue(client.readReply().startsWith("-ERR"));
        assertNull(client.readReply());
      }
    }
  }

  @Test
  void connectionLimit_evictsSilentConnections() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient conformingClient = harness.connectClient();
      conformingClient.call("PING");
      List<RespClient> silentClients = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silentClients.add(harness.connectClient());
      }
      RespClient lateClient = harness.connectClient();
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], lateClient.call(command));
      assertEquals("+PONG", conformingClient.call("PING"));
      assertNull(silentClients.get(0).readReply());
    }
  }
}
