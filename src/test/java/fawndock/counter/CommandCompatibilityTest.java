package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.LogSettings;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that command names, arities, replies and the messages between nodes are the same as in an
 * earlier version. The golden files contain the replies and messages of that version.
 */
class CommandCompatibilityTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final CounterSettings.Cluster STANDALONE =
      new CounterSettings.Cluster("", 1, 150, 2_000, Map.of());
  @TempDir private Path directory;
  private FileStorage storage;
  private CounterServer server;
  private int port;

  private void start(CounterSettings.Cluster cluster) throws IOException {
    storage = new FileStorage(directory, true);
    server =
        new CounterServer(
            new CounterSettings(
                new Address("127.0.0.1", 0),
                directory,
                Durability.ALWAYS,
                100,
                1 << 20,
                "",
                1_100,
                300_000,
                10_000,
                new LogSettings(false, "warn"),
                cluster),
            storage);
    port = server.start(bytes -> {});
  }

  @AfterEach
  void stop() throws IOException {
    if (server != null) {
      server.close();
      storage.close();
    }
  }

  /**
   * A connection that sends commands and returns replies as text. Simple strings, errors and
   * integers keep their type byte.
   */
  private static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream input;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MILLIS);
      input = new BufferedInputStream(socket.getInputStream());
    }

    String call(String... words) throws IOException {
      StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
      for (String word : words) {
        text.append("$" + word.getBytes(StandardCharsets.UTF_8).length + "\r\n" + word + "\r\n");
      }
      socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
      return readReply();
    }

    /** Reads a command sent by a node, which is an array of words. */
    List<String> readCommand() throws IOException {
      List<String> words = new ArrayList<>();
      for (int remaining = Integer.parseInt(readLine().substring(1)); remaining > 0; remaining--) {
        words.add(readReply());
      }
      return words;
    }

    void writeLine(String text) throws IOException {
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    String readReply() throws IOException {
      String line = readLine();
      int length = "$*".indexOf(line.charAt(0)) >= 0 ? Integer.parseInt(line.substring(1)) : 0;
      if (length < 0) {
        return "null";
      }
      if (line.charAt(0) == '$') {
        return new String(input.readNBytes(length + 2), 0, length, StandardCharsets.UTF_8);
      }
      if (line.charAt(0) != '*') {
        return line;
      }
      List<String> elements = new ArrayList<>();
      for (int i = 0; i < length; i++) {
        elements.add(readReply());
      }
      return elements.toString();
    }

    private String readLine() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = input.read(); c != '\n'; c = input.read()) {
        if (c < 0) {
          throw new IOException("connection closed by the peer");
        }
        line.append(c == '\r' ? "" : Character.toString(c));
      }
      return line.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private Connection connect() throws IOException {
    return new Connection(new Socket("127.0.0.1", port));
  }

  @Test
  void commandTable_asInEarlierVersion_hasSameNamesAritiesAndNameIndexes() throws IOException {
    start(STANDALONE);
    try (Connection client = connect()) {
      List<String> expected = new ArrayList<>();
      for (String line : EarlierVersionFiles.lines("command-table.txt")) {
        String[] words = line.split(" ", 0);
        expected.add(
            "[%s, :%s, [+%s], :%s, :%s, :%s]"
                .formatted(words[0], words[1], words[2], words[3], words[4], words[5]));
      }
      assertEquals(expected.toString(), client.call("COMMAND"));
    }
  }

  @Test
  void info_asInEarlierVersion_hasSameSectionsAndFieldsInOrder() throws IOException {
    start(STANDALONE);
    try (Connection client = connect()) {
      List<String> fields =
          Arrays.stream(client.call("INFO").split("\r\n", 0))
              .filter(line -> !line.isEmpty())
              .map(
                  line -> line.substring(0, line.contains(":") ? line.indexOf(':') : line.length()))
              .toList();
      assertEquals(EarlierVersionFiles.lines("info-fields.txt"), fields);
    }
  }

  @Test
  void commands_replayedInOrder_haveSameRepliesAlsoAfterRestart() throws IOException {
    start(STANDALONE);
    Connection client = connect();
    try {
      for (String line : EarlierVersionFiles.lines("commands.txt")) {
        if (line.startsWith("--")) {
          client.close();
          stop();
          start(STANDALONE);
          client = connect();
          continue;
        }
        int separator = line.lastIndexOf("\t-> ");
        String command = line.substring(0, separator);
        assertEquals(line.substring(separator + 4), client.call(command.split("\t", 0)), command);
      }
      for (String line : EarlierVersionFiles.lines("restarted/answers.txt")) {
        String[] nameAndReply = line.split("\t", 0);
        assertEquals(nameAndReply[1], client.call("GET", nameAndReply[0]), nameAndReply[0]);
      }
    } finally {
      client.close();
    }
  }

  @Test
  void server_startedOnFilesOfEarlierVersion_givesSameReplies() throws IOException {
    EarlierVersionFiles.copyTo("restarted", directory);
    start(STANDALONE);
    try (Connection client = connect()) {
      for (String line : EarlierVersionFiles.lines("restarted/answers.txt")) {
        String[] nameAndReply = line.split("\t", 0);
        // The fixture's relative expiries pass eventually; only names that never expire are
        // compared.
        if (!nameAndReply[0].matches("window\\..*|lives|after-snapshot")) {
          assertEquals(nameAndReply[1], client.call("GET", nameAndReply[0]), nameAndReply[0]);
        }
      }
    }
  }

  @Test
  void standaloneCounter_nodeCommands_haveSameReplyTexts() throws IOException {
    start(STANDALONE);
    try (Connection client = connect()) {
      assertEquals("[alone epoch 1 ready]", client.call("FD.STATUS"));
      assertEquals("[:1, :1048576]", client.call("FD.HERE", "7", "1"));
      assertEquals("5", client.call("FD.SUM", "a.1", "7", "5", "0", "60000"));
      assertEquals("3", client.call("FD.SUM", "a.1", "7", "5", "2", "60000"));
      assertEquals(
          "-ERR a sum is not negative", client.call("FD.SUM", "a.1", "7", "-5", "0", "60000"));
      assertEquals(
          "-ERR invalid expire time in 'fd.sum' command",
          client.call("FD.SUM", "a.1", "7", "5", "0", "0"));
      assertEquals(
          "-ERR this counter is alone, expected 'fleet NAME' in its settings",
          client.call("FD.NODES"));
      assertEquals(
          "-STRANGER no node 'n1' on this node's list",
          client.call("FD.BEAT", "n1", "1", "1", "1"));
      assertEquals("-STRANGER no node 'n1' on this node's list", client.call("FD.TOLD", "n1", "1"));
      assertEquals("-ERR syntax error", client.call("FD.BEAT", "n1", "1", "1", "1", "7"));
      assertEquals(
          "-ERR invalid expire time in 'fd.add' command", client.call("FD.ADD", "a", "1", "0"));
    }
  }

  /** The test acts as the peer: it reads the messages of the node and replies to them. */
  @Test
  void messagesBetweenNodes_haveSameWordsInSameOrder() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(TIMEOUT_MILLIS);
      Address peer = new Address("127.0.0.1", listener.getLocalPort());
      start(new CounterSettings.Cluster("n0", 1, 300, 600, Map.of("n1", peer)));
      try (Connection nodeConnection = new Connection(listener.accept());
          Connection client = connect()) {
        List<String> heartbeat = nodeConnection.readCommand();
        assertEquals(List.of("FD.BEAT", "n0", "1048576"), heartbeat.subList(0, 3));
        Long.parseLong(heartbeat.get(3)); // The incarnation is random.
        assertEquals(
            List.of("0"),
            heartbeat.subList(4, heartbeat.size()),
            "the node is not ready and sends no stamps");
        nodeConnection.writeLine("+OK");
        assertEquals(
            "+OK", client.call("FD.TOLD", "n1", "1", "a.1", "8", "2.5", "1", "2000000000"));
        assertEquals("+OK", client.call("FD.BEAT", "n1", "1048576", "12345", "1", "8", "17"));
        List<String> fullState = replyUntilSums(nodeConnection);
        assertEquals(
            List.of("n0", "1"), fullState.subList(1, 3), "sender, and full state complete");
        assertEquals(List.of("a.1 8 0 1", "a.1 8 2.5 0"), sumsWithoutExpiry(fullState));
        nodeConnection.writeLine("+OK");
        assertEquals("6.5", client.call("FD.SUM", "a.1", "7", "6", "1", "60000"));
        List<String> changedSums = replyUntilSums(nodeConnection);
        assertEquals(
            List.of("n0", "0"), changedSums.subList(1, 3), "sender, and full state not complete");
        assertEquals(List.of("a.1 7 6 1"), sumsWithoutExpiry(changedSums));
        nodeConnection.writeLine("+OK");
        client.call("FD.BEAT", "n1", "1048576", "12345", "1");
        String status = client.call("FD.STATUS");
        assertTrue(
            status.matches("\\[n0 epoch 1 ready,   n1 heard lag (everything|[0-9]+)]"), status);
        assertEquals(
            "+LIST 2 n0=127.0.0.1:1 n1=127.0.0.1:2",
            replyAfterMembershipChange(client, "2", "n0=127.0.0.1:1", "n1=127.0.0.1:2"));
      }
    }
  }

  private static List<String> sumsWithoutExpiry(List<String> command) {
    assertEquals(0, (command.size() - 3) % 5, command.toString());
    List<String> sums = new ArrayList<>();
    for (int index = 3; index < command.size(); index += 5) {
      sums.add(String.join(" ", command.subList(index, index + 4)));
      assertTrue(Long.parseLong(command.get(index + 4)) > 0, "the time to live is positive");
    }
    sums.sort(null);
    return sums;
  }

  private static String replyAfterMembershipChange(Connection client, String... membershipWords)
      throws IOException {
    String[] words = new String[membershipWords.length + 1];
    words[0] = "FD.NODES";
    System.arraycopy(membershipWords, 0, words, 1, membershipWords.length);
    assertEquals(String.join(" ", membershipWords), client.call(words));
    return client.call("FD.BEAT", "n1", "1048576", "12345", "1");
  }

  /**
   * Replies to heartbeats until a message with sums arrives, and checks the form of the heartbeats.
   */
  private static List<String> replyUntilSums(Connection nodeConnection) throws IOException {
    while (true) {
      List<String> command = nodeConnection.readCommand();
      if (command.get(0).equals("FD.TOLD")) {
        return command;
      }
      assertEquals("FD.BEAT", command.get(0));
      assertEquals(1, command.size() % 2, "stamps come in pairs: " + command);
      assertFalse(command.size() < 5, command.toString());
      if (command.size() > 5) {
        assertEquals(List.of("8", "17"), command.subList(5, command.size()), "origin and stamp");
      }
      nodeConnection.writeLine("+OK");
    }
  }
}
