package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.Transaction;
import redis.clients.jedis.exceptions.JedisDataException;

/** What a client, a connection and a transaction may take of the counter. */
class CounterLimitsTest extends CounterServerFixture {
  /** Many more answers than may wait: reading pauses, nothing is lost and all come in order. */
  @Test
  void deepPipeline_isAnsweredInOrder() throws Exception {
    int many = 200_000;
    try (Socket socket = new Socket("127.0.0.1", port)) {
      Thread writer =
          new Thread(
              () -> {
                try {
                  byte[] one = "INCRBY deep 1\r\n".getBytes(StandardCharsets.US_ASCII);
                  var out = new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                  for (int i = 0; i < many; i++) {
                    out.write(one);
                  }
                  out.flush();
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      BufferedReader in = reader(socket);
      long next = 1;
      for (int i = 0; i < many; i++) {
        String line = in.readLine();
        if (line.startsWith(":")) { // Others were rejected: more than fits in a group.
          assertEquals(":" + next++, line);
        } else {
          assertEquals("-BUSY the log is behind, nothing was added", line);
        }
      }
      writer.join();
    }
  }

  /** A client that does not read replies is not read from: what it sends stays in the sockets. */
  @Test
  void unreadReplies_stopReadingFromTheClient() throws IOException {
    byte[] echo = ("ECHO " + "x".repeat(60_000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    int most = 2_000;
    try (SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        Jedis other = client()) {
      channel.configureBlocking(false);
      int sent = 0;
      ByteBuffer next = ByteBuffer.wrap(echo);
      for (int inVain = 0; inVain < 200 && sent < most; ) {
        inVain = channel.write(next) > 0 ? 0 : inVain + 1;
        if (!next.hasRemaining()) {
          sent++;
          next.clear();
        }
        other.ping(); // The counter has had a turn.
      }
      assertTrue(sent < most, "120 MB were taken without an answer read");
    }
  }

  @Test
  void incompleteCommand_isClosedAndAHugeOneRejected() throws IOException {
    try (Socket half = new Socket("127.0.0.1", port);
        Socket huge = new Socket("127.0.0.1", port)) {
      half.getOutputStream().write("*2\r\n$3\r\nGET\r\n$1".getBytes(StandardCharsets.US_ASCII));
      huge.getOutputStream()
          .write("*2\r\n$3\r\nGET\r\n$2147483647\r\nab".getBytes(StandardCharsets.US_ASCII));
      assertEquals("-ERR Protocol error: invalid bulk length", reader(huge).readLine());
      assertEquals(-1, huge.getInputStream().read());
      assertNull(reader(half).readLine());
    }
  }

  @Test
  void thousandConnections_ofWhichFewAreActive_areServed() throws IOException {
    List<Socket> all = new ArrayList<>();
    try {
      for (int i = 0; i < 1_000; i++) {
        all.add(new Socket("127.0.0.1", port));
      }
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 1_000; i += 10) {
          all.get(i).getOutputStream().write("INCRBY n 1\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 0; i < 1_000; i += 10) {
          assertTrue(reader(all.get(i)).readLine().matches(":[0-9]+"));
        }
      }
      try (Jedis c = client()) {
        assertEquals("300", c.get("n"));
        assertTrue(c.info().contains("connected_clients:1001"));
      }
    } finally {
      for (Socket each : all) {
        each.close();
      }
    }
  }

  /** The first beyond a limit is rejected, and the others go on. */
  @Test
  void namesConnectionsAndTransactions_beyondTheirLimits_areRejected() throws IOException {
    try (Jedis c = client()) {
      c.incrBy("old", 1);
      String message = "";
      for (int i = 0; message.isEmpty(); i++) {
        try {
          c.incrBy("name-" + i, 1);
        } catch (JedisDataException e) {
          message = e.getMessage();
        }
      }
      assertEquals("OOM command not allowed when used memory > 'maxmemory'.", message);
      assertEquals(message, error(() -> c.set("another", "1")));
      assertEquals(2, c.incrBy("old", 1));
      assertEquals("ERR a name is at most 1024 bytes", error(() -> c.incrBy("x".repeat(1_025), 1)));
      Transaction t = c.multi();
      for (int i = 0; i < fawndock.counter.Transaction.MAX_COMMANDS + 1; i++) {
        t.incrBy("old", 1);
      }
      assertEquals("EXECABORT Transaction discarded because of previous errors.", error(t::exec));
      assertEquals("2", c.get("old"));
      assertEquals(
          "ERR unknown command 'A  B', with args beginning with: ",
          error(() -> c.sendCommand(() -> "A\r\nB".getBytes(StandardCharsets.US_ASCII))));
    }
    List<Socket> all = new ArrayList<>();
    try {
      for (int i = 0; i < 1_100; i++) {
        all.add(new Socket("127.0.0.1", port));
        all.get(i).getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      Set<String> first = new HashSet<>();
      for (Socket each : all) {
        first.add(reader(each).readLine());
      }
      assertTrue(first.contains("+PONG"), first.toString());
      try (Socket more = new Socket("127.0.0.1", port)) {
        assertEquals("-ERR max number of clients reached", reader(more).readLine());
      }
    } finally {
      for (Socket each : all) {
        each.close();
      }
    }
  }

  /** A transaction that does not fit in the open group is not begun. */
  @Test
  void transaction_beyondTheOpenGroup_isRejectedWhole() throws Exception {
    storage.syncPermits.acquireUninterruptibly();
    try (Socket first = new Socket("127.0.0.1", port);
        Socket second = new Socket("127.0.0.1", port);
        Jedis other = client()) {
      first.getOutputStream().write("INCRBY first 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (other.get("first") == null) {
        Thread.onSpinWait();
      }
      byte[] large = ("INCRBY " + "x".repeat(1_000) + " 1\r\n").getBytes(StandardCharsets.US_ASCII);
      // Until what is left of the group takes some of the transaction but not all.
      while (waiting(other) < (1 << 20) - 40_000) {
        second.getOutputStream().write(large);
      }
      try (Jedis c = client()) {
        Transaction t = c.multi();
        t.incrBy("small", 1);
        for (int i = 0; i < 100; i++) {
          t.incrBy("y".repeat(1_000), 1);
        }
        assertTrue(error(t::exec).startsWith("BUSY"));
        assertNull(c.get("small"));
      }
    } finally {
      storage.syncPermits.release();
    }
  }

  private static long waiting(Jedis c) {
    return Long.parseLong(c.info().replaceAll("(?s).*waiting_bytes:([0-9]+).*", "$1"));
  }
}
