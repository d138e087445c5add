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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.Transaction;
import redis.clients.jedis.exceptions.JedisDataException;

/** Tests the limits on clients, connections, names and transactions. */
class CounterLimitsTest extends CounterServerFixture {
  /**
   * With many more pending replies than allowed, reading pauses, and no reply is lost or out of
   * order.
   */
  @Test
  void deepPipeline_isAnsweredInOrder() throws Exception {
    int commandCount = 200_000;
    try (Socket socket = new Socket("127.0.0.1", port)) {
      Thread writer =
          new Thread(
              () -> {
                try {
                  byte[] command = "INCRBY deep 1\r\n".getBytes(StandardCharsets.US_ASCII);
                  var output = new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                  for (int i = 0; i < commandCount; i++) {
                    output.write(command);
                  }
                  output.flush();
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      writer.start();
      BufferedReader replies = reader(socket);
      long nextTotal = 1;
      for (int i = 0; i < commandCount; i++) {
        String line = replies.readLine();
        if (line.startsWith(":")) { // Other adds are rejected because the commit group is full.
          assertEquals(":" + nextTotal++, line);
        } else {
          assertEquals("-BUSY the log is behind, nothing was added", line);
        }
      }
      writer.join();
    }
  }

  /**
   * The server stops reading from a client that does not read its replies, so the unread commands
   * stay in the socket buffers.
   */
  @Test
  void unreadReplies_stopReadingFromClient() throws IOException {
    byte[] echoCommand =
        ("ECHO " + "x".repeat(60_000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    int maxCommands = 2_000;
    try (SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        Jedis otherClient = client()) {
      channel.configureBlocking(false);
      int sentCount = 0;
      ByteBuffer unsent = ByteBuffer.wrap(echoCommand);
      for (int failedWrites = 0; failedWrites < 200 && sentCount < maxCommands; ) {
        failedWrites = channel.write(unsent) > 0 ? 0 : failedWrites + 1;
        if (!unsent.hasRemaining()) {
          sentCount++;
          unsent.clear();
        }
        otherClient.ping(); // Ensures that the event loop of the counter has run.
      }
      assertTrue(
          sentCount < maxCommands, "the server read 120 MB although the client read no reply");
    }
  }

  @Test
  void incompleteCommand_isClosedAndOversizedCommandIsRejected() throws IOException {
    try (Socket incomplete = new Socket("127.0.0.1", port);
        Socket oversized = new Socket("127.0.0.1", port)) {
      incomplete
          .getOutputStream()
          .write("*2\r\n$3\r\nGET\r\n$1".getBytes(StandardCharsets.US_ASCII));
      oversized
          .getOutputStream()
          .write("*2\r\n$3\r\nGET\r\n$2147483647\r\nab".getBytes(StandardCharsets.US_ASCII));
      assertEquals("-ERR Protocol error: invalid bulk length", reader(oversized).readLine());
      assertEquals(-1, oversized.getInputStream().read());
      assertNull(reader(incomplete).readLine());
    }
  }

  @Test
  void thousandConnections_ofWhichFewAreActive_areServed() throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 1_000; i++) {
        sockets.add(new Socket("127.0.0.1", port));
      }
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 1_000; i += 10) {
          sockets
              .get(i)
              .getOutputStream()
              .write("INCRBY n 1\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 0; i < 1_000; i += 10) {
          assertTrue(reader(sockets.get(i)).readLine().matches(":[0-9]+"));
        }
      }
      try (Jedis client = client()) {
        assertEquals("300", client.get("n"));
        assertTrue(client.info().contains("connected_clients:1001"));
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** The first request beyond a limit is rejected, and others are still served. */
  @Test
  void namesConnectionsAndTransactions_beyondTheirLimits_areRejected() throws IOException {
    try (Jedis client = client()) {
      client.incrBy("old", 1);
      String errorReply = "";
      for (int i = 0; errorReply.isEmpty(); i++) {
        try {
          client.incrBy("name-" + i, 1);
        } catch (JedisDataException e) {
          errorReply = e.getMessage();
        }
      }
      assertEquals("OOM command not allowed when used memory > 'maxmemory'.", errorReply);
      assertEquals(errorReply, errorMessage(() -> client.set("another", "1")));
      assertEquals(2, client.incrBy("old", 1));
      assertEquals(
          "ERR a name is at most 1024 bytes",
          errorMessage(() -> client.incrBy("x".repeat(1_025), 1)));
      Transaction transaction = client.multi();
      for (int i = 0; i < fawndock.counter.Transaction.MAX_COMMANDS + 1; i++) {
        transaction.incrBy("old", 1);
      }
      assertEquals(
          "EXECABORT Transaction discarded because of previous errors.",
          errorMessage(transaction::exec));
      assertEquals("2", client.get("old"));
      assertEquals(
          "ERR unknown command 'A  B', with args beginning with: ",
          errorMessage(
              () -> client.sendCommand(() -> "A\r\nB".getBytes(StandardCharsets.US_ASCII))));
    }
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 1_100; i++) {
        sockets.add(new Socket("127.0.0.1", port));
        sockets.get(i).getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      Set<String> replies = new HashSet<>();
      for (Socket socket : sockets) {
        replies.add(reader(socket).readLine());
      }
      assertTrue(replies.contains("+PONG"), replies.toString());
      try (Socket extraSocket = new Socket("127.0.0.1", port)) {
        assertEquals("-ERR max number of clients reached", reader(extraSocket).readLine());
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  static List<String> partialCommands() {
    return List.of(
        "*16384\r\n" + "$0\r\n\r\n".repeat(16_383),
        "*3\r\n$3\r\nSET\r\n$400000\r\n" + "x".repeat(400_000) + "\r\n$",
        "MULTI\r\n" + ("SET a " + "x".repeat(1_000) + "\r\n").repeat(200));
  }

  /** Guards against commands that are not whole, and open transactions, which filled the heap. */
  @ParameterizedTest
  @MethodSource("partialCommands")
  void partialCommands_beyondTheirMemory_endTheOldestConnectionsAndNoOthers(String partialCommand)
      throws IOException {
    restart("", 4_000);
    List<Socket> sockets = new ArrayList<>();
    try (Jedis client = client()) {
      for (int i = 1; i <= 40; i++) {
        sockets.add(new Socket("127.0.0.1", port));
        sockets
            .get(i - 1)
            .getOutputStream()
            .write(partialCommand.getBytes(StandardCharsets.US_ASCII));
        assertEquals(i, client.incrBy("n", 1));
      }
      BufferedReader replies = reader(sockets.get(0));
      String line = replies.readLine();
      while (line.startsWith("+")) {
        line = replies.readLine();
      }
      assertEquals("-ERR no memory for the rest of the command", line);
      assertNull(replies.readLine());
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** A transaction that does not fit into the open commit group is not started. */
  @Test
  void transaction_largerThanSpaceInOpenGroup_isRejectedEntirely() throws Exception {
    storage.syncPermits.acquireUninterruptibly();
    try (Socket firstSocket = new Socket("127.0.0.1", port);
        Socket secondSocket = new Socket("127.0.0.1", port);
        Jedis otherClient = client()) {
      firstSocket.getOutputStream().write("INCRBY first 1\r\n".getBytes(StandardCharsets.US_ASCII));
      while (otherClient.get("first") == null) {
        Thread.onSpinWait();
      }
      byte[] largeAdd =
          ("INCRBY " + "x".repeat(1_000) + " 1\r\n").getBytes(StandardCharsets.US_ASCII);
      // Fills the group until its free space is enough for a part of the transaction but not for
      // all of it.
      while (waitingBytes(otherClient) < (1 << 20) - 40_000) {
        secondSocket.getOutputStream().write(largeAdd);
      }
      try (Jedis client = client()) {
        Transaction transaction = client.multi();
        transaction.incrBy("small", 1);
        for (int i = 0; i < 100; i++) {
          transaction.incrBy("y".repeat(1_000), 1);
        }
        assertTrue(errorMessage(transaction::exec).startsWith("BUSY"));
        assertNull(client.get("small"));
      }
    } finally {
      storage.syncPermits.release();
    }
  }

  private static long waitingBytes(Jedis client) {
    return Long.parseLong(client.info().replaceAll("(?s).*waiting_bytes:([0-9]+).*", "$1"));
  }
}
