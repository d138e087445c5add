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

/**
 * Tests which data survives restarts and storage failures, and which replies wait for durability.
 */
class CounterDurabilityTest extends CounterServerFixture {
  @Test
  void restart_keepsAmountsAndExpiries() throws IOException {
    long expectedExpiryMillis;
    try (Jedis client = client()) {
      for (int i = 0; i < 200; i++) {
        client.incrByFloat("a", 0.1);
      }
      client.incrBy("b", 1);
      client.expire("b", 1_000);
      client.incrBy("gone", 1);
      client.del("gone");
      expectedExpiryMillis = System.currentTimeMillis() + client.pttl("b");
    }
    restart("", 1_000);
    try (Jedis client = client()) {
      assertEquals("20", client.get("a"));
      assertTrue(
          Math.abs(System.currentTimeMillis() + client.pttl("b") - expectedExpiryMillis) < 900,
          "the expiry time changed");
      assertEquals(2, client.dbSize());
    }
  }

  @Test
  void directory_alreadyInUse_isRejected() {
    assertEquals(
        directory + " is in use by another counter",
        assertThrows(IOException.class, () -> new FileStorage(directory, true)).getMessage());
  }

  /**
   * Each reply waits for the sync of its own commit group, and so do the later replies on the same
   * connection.
   */
  @Test
  void replies_untilTheirOwnGroupIsSynced_areHeldBackInOrder() throws IOException {
    storage.consumesSyncPermits = true;
    storage.syncPermits.acquireUninterruptibly();
    try (Socket firstSocket = new Socket("127.0.0.1", port);
        Socket secondSocket = new Socket("127.0.0.1", port);
        Jedis otherClient = client()) {
      firstSocket
          .getOutputStream()
          .write("INCRBY a 1\r\nGET a\r\n".getBytes(StandardCharsets.US_ASCII));
      while (otherClient.get("a") == null) {
        Thread.onSpinWait();
      }
      secondSocket.getOutputStream().write("INCRBY b 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (otherClient.get("b") == null) {
        Thread.onSpinWait();
      }
      assertEquals(0, firstSocket.getInputStream().available());
      storage.syncPermits.release();
      BufferedReader replies = reader(firstSocket);
      assertEquals(
          List.of(":1", "$1", "1"),
          List.of(replies.readLine(), replies.readLine(), replies.readLine()));
      otherClient.ping(); // Replies released by the same sync are sent by now.
      assertEquals(
          0, secondSocket.getInputStream().available(), "the add was acknowledged before its sync");
      storage.consumesSyncPermits = false;
      storage.syncPermits.release();
      assertEquals(":1", reader(secondSocket).readLine());
    }
  }

  /**
   * While a sync hangs, adds wait until one commit group is full, further adds are rejected at
   * once, and reads are still served.
   */
  @Test
  void slowSync_delaysAcknowledgementsWithoutLosingAny() throws Exception {
    storage.syncPermits.acquireUninterruptibly();
    int addCount = 60_000;
    try (Jedis otherClient = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < addCount; i++) {
        commands.append("INCRBY slow 1\r\n");
      }
      Thread writer =
          new Thread(
              () -> {
                try {
                  socket
                      .getOutputStream()
                      .write(commands.toString().getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      assertEquals("PONG", otherClient.ping());
      try (Socket thirdSocket = new Socket("127.0.0.1", port)) {
        // Fills the open commit group until adds are rejected.
        byte[] largeAdds =
            ("FD.ADD " + "x".repeat(1_000) + " 1 1000000\r\n")
                .repeat(100)
                .getBytes(StandardCharsets.US_ASCII);
        while (otherClient.info().contains("refused_commands:0")) {
          thirdSocket.getOutputStream().write(largeAdds);
        }
      }
      assertEquals(
          0, socket.getInputStream().available(), "an add was acknowledged before the sync");
      storage.syncPermits.release();
      BufferedReader replies = reader(socket);
      long acknowledgedAdds = 0;
      for (int i = 0; i < addCount; i++) {
        acknowledgedAdds += replies.readLine().startsWith(":") ? 1 : 0;
      }
      writer.join();
      assertTrue(acknowledgedAdds > 0);
      assertEquals(Long.toString(acknowledgedAdds), otherClient.get("slow"));
    }
  }

  @Test
  void fullStorage_rejectsAddsServesReadsAndRecovers() throws Exception {
    try (Jedis client = client();
        Socket socket = new Socket("127.0.0.1", port)) {
      client.incrBy("a", 1);
      storage.isFull = true;
      socket.getOutputStream().write("INCRBY a 1\r\n".getBytes(StandardCharsets.US_ASCII));
      String errorReply = "";
      while (!errorReply.startsWith("MISCONF")) {
        errorReply =
            client.info().contains("refusing:MISCONF")
                ? errorMessage(() -> client.incrBy("a", 10))
                : "";
      }
      assertEquals(
          "MISCONF the log cannot be written (no space left), nothing was added", errorReply);
      assertEquals("2", client.get("a"));
      assertEquals(0, socket.getInputStream().available());
      storage.isFull = false;
      assertEquals(":2", reader(socket).readLine());
      assertEquals(3, client.incrBy("a", 1));
    }
    restart("", 1_000);
    try (Jedis client = client()) {
      assertEquals("3", client.get("a"));
    }
  }

  /** Changes covered by a failed sync are acknowledged only when they are durable in a new file. */
  @Test
  void failedSync_continuesInANewSegmentAfterASnapshot() throws Exception {
    try (Jedis client = client()) {
      client.incrBy("a", 1);
      storage.failNextSync = true;
      assertEquals(2, client.incrBy("a", 1));
      assertTrue(Files.exists(directory.resolve("snapshot-00000000000000000002.snap")));
      assertTrue(Files.exists(directory.resolve("segment-00000000000000000003.log")));
      assertEquals(3, client.incrBy("a", 1));
    }
    restart("", 1_000);
    try (Jedis client = client()) {
      assertEquals("3", client.get("a"));
    }
  }

  /** The number of adds is sufficient for several snapshots while the adds continue. */
  @Test
  void snapshots_whileAddsContinue_areTaken() throws Exception {
    long acknowledgedCount = 0;
    try (Jedis client = client()) {
      String longName = "n".repeat(900);
      for (int round = 0; round < 30; round++) {
        Pipeline pipeline = client.pipelined();
        List<Response<Long>> totals = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
          totals.add(pipeline.incrBy(longName + i, 1));
        }
        pipeline.sync();
        for (Response<Long> total : totals) {
          assertEquals(round + 1, total.get());
          acknowledgedCount++;
        }
      }
    }
    assertEquals(6_000, acknowledgedCount);
    long newestSnapshot = LogFormat.FileKind.SNAPSHOT.filesBySequence(files).lastKey();
    assertTrue(newestSnapshot > 0, "no snapshot was taken");
    restart("", 1_000);
    try (Jedis client = client()) {
      assertEquals(200, client.dbSize());
      assertEquals("30", client.get("n".repeat(900) + 7));
    }
  }
}
