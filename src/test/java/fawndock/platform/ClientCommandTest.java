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
 * Clients, usual and bad ones: a bad one gets an error or a close and takes nothing from the usual
 * ones.
 */
class ClientCommandTest {
  @Test
  void answersComeInTheOrderOfTheCommands() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          if (words.get(0).equals("Q.DO")) {
            release.await();
          }
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient client = service.client()) {
      String[] slow = service.request("pay");
      String[] quick = service.request("look");
      client.send(
          RespClient.encodeCommand(slow)
              + RespClient.encodeCommand(quick)
              + RespClient.encodeCommand("PING"));
      Await.until(() -> service.world.backend.commandCount() == 2);
      release.countDown();
      assertEquals("value of " + slow[2], client.readReply());
      assertEquals("value of " + quick[2], client.readReply());
      assertEquals("+PONG", client.readReply());
    }
  }

  @Test
  void badInputGetsAnErrorOrACloseAndReachesNobody() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient usual = service.client()) {
      String good = "c=look,t=large,d=900,units=1,spread=1,first=0";
      List<String[]> unfit = new ArrayList<>();
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
        unfit.add(new String[] {"Q.ASK", "0000000000000007", "00000000000000aa", list});
      }
      unfit.add(new String[] {"Q.ASK", "0000000000000007", "", good});
      unfit.add(new String[] {"Q.ASK", "0000000200000000", "00000000000000aa", good});
      unfit.add(new String[] {"Q.ASK", "-000000000000007", "00000000000000aa", good});
      unfit.add(new String[] {"Q.ASK", "0000000000000007", "00000000000000aa"});
      unfit.add(new String[] {"Q.DO", "0000000000000007", "00000000000000aa", good});
      unfit.add(
          new String[] {
            "Q.DO", "0000000000000007", "00000000000000aa", good.replace("look", "note")
          });
      unfit.add(new String[] {"GET", "x"});
      for (String[] each : unfit) {
        assertTrue(usual.call(each).startsWith("-ERR"), String.join(" ", each));
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
        try (RespClient bad = service.client()) {
          assertTrue(bad.send(noise).readReply().startsWith("-ERR"), noise);
          assertNull(bad.readReply(), noise);
        }
      }
      assertEquals(0, service.world.backend.commandCount());
      assertEquals(0, service.world.counter.commandCount());
      String[] words = service.request("look");
      assertEquals("value of " + words[2], usual.call(words));
    }
  }

  @Test
  void halfACommandAndSilenceEnd() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient half = service.client();
        RespClient silent = service.client();
        RespClient usual = service.client()) {
      usual.call("PING");
      half.send("*4\r\n$5\r\nQ.A");
      assertTrue(half.readReply().startsWith("-ERR"));
      assertNull(half.readReply());
      assertNull(silent.readReply());
      assertEquals("+PONG", usual.call("PING"));
    }
  }

  @Test
  void anIdThatIsOpenIsNotTakenTwice() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeRespServer.CommandHandler worker =
        (words, link) -> {
          release.await();
          FakeRespServer.backendHandler().onCommand(words, link);
        };
    try (PlatformHarness service = new PlatformHarness(worker, FakeRespServer.counterHandler());
        RespClient usual = service.client();
        RespClient bad = service.client()) {
      String[] words = service.request("pay");
      usual.send(RespClient.encodeCommand(words));
      Await.until(() -> service.world.backend.commandCount() == 1);
      assertEquals("-ERR the id is open already", bad.call(words));
      release.countDown();
      assertEquals("value of " + words[2], usual.readReply());
      assertEquals(1, service.world.backend.commandCount());
    }
  }

  @Test
  void tooManyCommandsAtOnceEndTheConnectionAfterTheFirst() throws Exception {
    try (PlatformHarness service =
            new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler());
        RespClient bad = service.client()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 200; i++) {
        all.append(RespClient.encodeCommand(service.request("look")));
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
      assertEquals("+PONG", service.client().call("PING"));
    }
  }

  @Test
  void whenConnectionsAreSpentTheSilentOnesGo() throws Exception {
    try (PlatformHarness service =
        new PlatformHarness(FakeRespServer.backendHandler(), FakeRespServer.counterHandler(), 64)) {
      RespClient usual = service.client();
      usual.call("PING");
      List<RespClient> silent = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silent.add(service.client());
      }
      RespClient late = service.client();
      String[] words = service.request("look");
      assertEquals("value of " + words[2], late.call(words));
      assertEquals("+PONG", usual.call("PING"));
      assertNull(silent.get(0).readReply());
    }
  }
}
