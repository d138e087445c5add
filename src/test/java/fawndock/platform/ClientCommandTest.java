package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Clients that keep to the protocol and others: the latter get an error or a close, and cost the
 * former nothing.
 */
class ClientCommandTest {
  @Test
  void responsesComeInTheOrderOfTheCommands() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          if (command.get(0).equals("Q.DO")) {
            release.await();
          }
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient client = harness.connectClient()) {
      String[] slow = harness.newRequest("pay");
      String[] quick = harness.newRequest("look");
      client.send(
          RespClient.encodeCommand(slow)
              + RespClient.encodeCommand(quick)
              + RespClient.encodeCommand("PING"));
      Await.until(() -> harness.platform.backend.commandCount() == 2);
      release.countDown();
      assertEquals("value of " + slow[2], client.readReply());
      assertEquals("value of " + quick[2], client.readReply());
      assertEquals("+PONG", client.readReply());
    }
  }

  @Test
  void invalidInput_getsAnErrorAndIsNotForwarded() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient wellBehaved = harness.connectClient()) {
      String good = "c=look,t=large,d=900,units=1,spread=1,first=0";
      List<String[]> invalidCommands = new ArrayList<>();
      for (String list :
          new String[] {
            "",
            "c=none,t=large,d=9,units=1,spread=1,first=0",
            good.replace("large", "none"),
            good.replace("d=900", "d=x"),
            good.replace("d=900", "d=-1"),
            good.replace("d=900", "d=0"),
            good.replace("d=900,", ""),
            good.replace("units=1", "units=0"),
            good.replace("units=1", "units=NaN"),
            good.replace("units=1", "units=99"),
            good.replace("spread=1", "spread=3"),
            good.replace("first=0", "first=2"),
            good.replace("first=0", "first=x"),
            good + ",d=5",
            "=" + good,
            good + "\n"
          }) {
        invalidCommands.add(new String[] {"Q.ASK", "0000000000000007", "00000000000000aa", list});
      }
      invalidCommands.add(new String[] {"Q.ASK", "0000000000000007", "", good});
      invalidCommands.add(new String[] {"Q.ASK", "0000000200000000", "00000000000000aa", good});
      invalidCommands.add(new String[] {"Q.ASK", "-000000000000007", "00000000000000aa", good});
      invalidCommands.add(new String[] {"Q.ASK", "0000000000000007", "00000000000000aa"});
      invalidCommands.add(new String[] {"Q.DO", "0000000000000007", "00000000000000aa", good});
      invalidCommands.add(
          new String[] {
            "Q.DO", "0000000000000007", "00000000000000aa", good.replace("look", "note")
          });
      invalidCommands.add(new String[] {"GET", "x"});
      for (String[] each : invalidCommands) {
        assertTrue(wellBehaved.call(each).startsWith("-ERR"), String.join(" ", each));
      }
      for (String noise :
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
        try (RespClient bad = harness.connectClient()) {
          assertTrue(bad.send(noise).readReply().startsWith("-ERR"), noise);
          assertNull(bad.readReply(), noise);
        }
      }
      assertEquals(0, harness.platform.backend.commandCount());
      assertEquals(0, harness.platform.counter.commandCount());
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], wellBehaved.call(command));
    }
  }

  @Test
  void incompleteCommandAndSilentConnection_areClosed() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient half = harness.connectClient();
        RespClient silent = harness.connectClient();
        RespClient wellBehaved = harness.connectClient()) {
      wellBehaved.call("PING");
      half.send("*4\r\n$5\r\nQ.A");
      assertTrue(half.readReply().startsWith("-ERR"));
      assertNull(half.readReply());
      assertNull(silent.readReply());
      assertEquals("+PONG", wellBehaved.call("PING"));
    }
  }

  @Test
  void idInFlight_isRejected() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler backend =
        (command, connection) -> {
          release.await();
          FakeRespServer.backendHandler().onCommand(command, connection);
        };
    try (PlatformHarness harness = new PlatformHarness(backend, FakeRespServer.counterHandler());
        RespClient wellBehaved = harness.connectClient();
        RespClient bad = harness.connectClient()) {
      String[] command = harness.newRequest("pay");
      wellBehaved.send(RespClient.encodeCommand(command));
      Await.until(() -> harness.platform.backend.commandCount() == 1);
      assertEquals("-ERR the id is open already", bad.call(command));
      release.countDown();
      assertEquals("value of " + command[2], wellBehaved.readReply());
      assertEquals(1, harness.platform.backend.commandCount());
    }
  }

  @Test
  void tooManyCommandsAtOnce_closeTheConnectionAfterTheFirstResponses() throws Exception {
    try (PlatformHarness harness =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient bad = harness.connectClient()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 200; i++) {
        all.append(RespClient.encodeCommand(harness.newRequest("look")));
      }
      bad.send(all.toString());
      int answers = 0;
      String last = "";
      for (String answer = bad.readReply(); answer != null; answer = bad.readReply()) {
        answers++;
        last = answer;
      }
      assertEquals("-ERR too many commands at once", last);
      assertTrue(answers < 200, answers + " answers");
      assertEquals("+PONG", harness.connectClient().call("PING"));
    }
  }

  @Test
  void connectionLimit_evictsSilentConnections() throws Exception {
    try (PlatformHarness harness =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient wellBehaved = harness.connectClient();
      wellBehaved.call("PING");
      List<RespClient> silent = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silent.add(harness.connectClient());
      }
      RespClient late = harness.connectClient();
      String[] command = harness.newRequest("look");
      assertEquals("value of " + command[2], late.call(command));
      assertEquals("+PONG", wellBehaved.call("PING"));
      assertNull(silent.get(0).readReply());
    }
  }
}
