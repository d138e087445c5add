package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.LogFormat;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.Pipeline;
import redis.clients.jedis.Response;

/** What survives restarts and failing storage, and which replies wait for it. */
class CounterDurabilityTest extends CounterServerFixture {
  @Test
  void restart_keepsAmountsAndExpiries() throws IOException {
    long until;
    try (Jedis c = client()) {
      for (int i = 0; i < 200; i++) {
        c.incrByFloat("a", 0.1);
      }
      c.incrBy("b", 1);
      c.expire("b", 1_000);
      c.incrBy("gone", 1);
      c.del("gone");
      until = System.currentTimeMillis() + c.pttl("b");
    }
    restart("", 1_000);
    try (Jedis c = client()) {
      assertEquals("20", c.get("a"));
      assertTrue(Math.abs(System.currentTimeMillis() + c.pttl("b") - until) < 900, "expiry moved");
      assertEquals(2, c.dbSize());
    }
  }

  @Test
  void directoryInUse_isRejectedForASecondProcess() {
    assertEquals(
        directory + " is in use by another counter",
        assertThrows(IOException.class, () -> new FileStorage(directory, true)).getMessage());
  }

  /**
   * Each answer waits for the sync of its own group, and what comes after it on the connection with
   * it.
   */
  @Test
  void replies_waitForTheSyncOfTheirOwnGroupInOrder() throws IOException {
    storage.isStepping = true;
    storage.syncPermits.acquireUninterruptibly();
    try (Socket first = new Socket("127.0.0.1", port);
        Socket second = new Socket("127.0.0.1", port);
        Jedis other = client()) {
      first.getOutputStream().write("INCRBY a 1\r\nGET a\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("a") == null) {
        Thread.onSpinWait();
      }
      second.getOutputStream().write("INCRBY b 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("b") == null) {
        Thread.onSpinWait();
      }
      assertEquals(0, first.getInputStream().available());
      storage.syncPermits.release();
      BufferedReader in = reader(first);
      assertEquals(List.of(":1", "$1", "1"), List.of(in.readLine(), in.readLine(), in.readLine()));
      other.ping(); // What was to go out with it has gone.
      assertEquals(0, second.getInputStream().available(), "acknowledged before its sync");
      storage.isStepping = false;
      storage.syncPermits.release();
      assertEquals(":1", reader(second).readLine());
    }
  }

  /**
   * While a sync hangs, adds wait up to one group; beyond it they are refused at once; reads go on.
   */
  @Test
  void slowSync_delaysAcknowledgementsAndLosesNone() throws Exception {
    storage.syncPermits.acquireUninterruptibly();
    int many = 60_000;
    try (Jedis other = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      StringBuilder adds = new StringBuilder();
      for (int i = 0; i < many; i++) {
        adds.append("INCRBY slow 1\r\n");
      }
      Thread writer =
          new Thread(
              () -> {
                try {
                  socket
                      .getOutputStream()
                      .write(adds.toString().getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      assertEquals("PONG", other.ping());
      try (Socket third = new Socket("127.0.0.1", port)) {
        // Fills the open group until calls are rejected.
        byte[] large =
            ("FD.ADD " + "x".repeat(1_000) + " 1 1000000\r\n")
                .repeat(100)
                .getBytes(StandardCharsets.US_ASCII);
        while (other.info().contains("refused_commands:0")) {
          third.getOutputStream().write(large);
        }
      }
      assertEquals(0, socket.getInputStream().available(), "acknowledged before the sync");
      storage.syncPermits.release();
      BufferedReader in = reader(socket);
      long acknowledged = 0;
      for (int i = 0; i < many; i++) {
        acknowledged += in.readLine().startsWith(":") ? 1 : 0;
      }
      writer.join();
      assertTrue(acknowledged > 0);
      assertEquals(Long.toString(acknowledged), other.get("slow"));
    }
  }

  @Test
  void fullStorage_rejectsAddsAnswersReadsAndRecovers() throws Exception {
    try (Jedis c = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      c.incrBy("a", 1);
      storage.isFull = true;
      socket.getOutputStream().write("INCRBY a 1\r\n".getBytes(StandardCharsets.US_ASCII));
      String message = "";
      while (!message.startsWith("MISCONF")) {
        message = c.info().contains("refusing:MISCONF") ? error(() -> c.incrBy("a", 10)) : "";
      }
      assertEquals("MISCONF the log cannot be written (no space left), nothing was added", message);
      assertEquals("2", c.get("a"));
      assertEquals(0, socket.getInputStream().available());
      storage.isFull = false;
      assertEquals(":2", reader(socket).readLine());
      assertEquals(3, c.incrBy("a", 1));
    }
    restart("", 1_000);
    try (Jedis c = client()) {
      assertEquals("3", c.get("a"));
    }
  }

  /** What a failed sync covered is acknowledged only when a new file holds it. */
  @Test
  void failedSync_continuesInANewSegmentAfterASnapshot() throws Exception {
    try (Jedis c = client()) {
      c.incrBy("a", 1);
      storage.failNextSync = true;
      assertEquals(2, c.incrBy("a", 1));
      assertTrue(Files.exists(directory.resolve("snapshot-00000000000000000002.snap")));
      assertTrue(Files.exists(directory.resolve("segment-00000000000000000003.log")));
      assertEquals(3, c.incrBy("a", 1));
    }
    restart("", 1_000);
    try (Jedis c = client()) {
      assertEquals("3", c.get("a"));
    }
  }

  /** Enough adds for several snapshots, taken while they go on. */
  @Test
  void snapshots_areTakenWhileAddsGoOn() throws Exception {
    long all = 0;
    try (Jedis c = client()) {
      String longName = "n".repeat(900);
      for (int round = 0; round < 30; round++) {
        Pipeline p = c.pipelined();
        List<Response<Long>> totals = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
          totals.add(p.incrBy(longName + i, 1));
        }
        p.sync();
        for (Response<Long> each : totals) {
          assertEquals(round + 1, each.get());
          all++;
        }
      }
    }
    assertEquals(6_000, all);
    long newest = LogFormat.FileKind.SNAPSHOT.filesBySequence(files).lastKey();
    assertTrue(newest > 0, "no snapshot was taken");
    restart("", 1_000);
    try (Jedis c = client()) {
      assertEquals(200, c.dbSize());
      assertEquals("30", c.get("n".repeat(900) + 7));
    }
  }
}
