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
 * Command names, arities, answers, and the words of the messages between nodes are those of the
 * earlier version: the golden lists are what it answered and sent.
 */
class CommandCompatibilityTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final CounterSettings.Cluster ALONE =
      new CounterSettings.Cluster("", 1, 150, 2_000, Map.of());
  @TempDir private Path directory;
  private FileStorage storage;
  private CounterServer server;
  private int port;

  private void start(CounterSettings.Cluster fleet) throws IOException {
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
                fleet),
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
   * Words in, the answer as text out: simple strings, errors and integers with their first byte.
   */
  private static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MILLIS);
      in = new BufferedInputStream(socket.getInputStream());
    }

    String call(String... words) throws IOException {
      StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
      for (String word : words) {
        text.append("$" + word.getBytes(StandardCharsets.UTF_8).length + "\r\n" + word + "\r\n");
      }
      socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
      return answer();
    }

    /** One command as a node sends it: an array of its words. */
    List<String> command() throws IOException {
      List<String> words = new ArrayList<>();
      for (int left = Integer.parseInt(line().substring(1)); left > 0; left--) {
        words.add(answer());
      }
      return words;
    }

    void reply(String text) throws IOException {
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    String answer() throws IOException {
      String line = line();
      int length = "$*".indexOf(line.charAt(0)) >= 0 ? Integer.parseInt(line.substring(1)) : 0;
      if (length < 0) {
        return "null";
      }
      if (line.charAt(0) == '$') {
        return new String(in.readNBytes(length + 2), 0, length, StandardCharsets.UTF_8);
      }
      if (line.charAt(0) != '*') {
        return line;
      }
      List<String> all = new ArrayList<>();
      for (int i = 0; i < length; i++) {
        all.add(answer());
      }
      return all.toString();
    }

    private String line() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new IOException("closed by the other side");
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
  void commandTable_hasTheSameNamesAritiesAndPlacesOfNames() throws IOException {
    start(ALONE);
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
  void info_hasTheSameSectionsAndFieldsInTheirOrder() throws IOException {
    start(ALONE);
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
  void commands_replayedInOrder_haveTheSameAnswersAlsoAfterARestart() throws IOException {
    start(ALONE);
    Connection client = connect();
    try {
      for (String line : EarlierVersionFiles.lines("commands.txt")) {
        if (line.startsWith("--")) {
          client.close();
          stop();
          start(ALONE);
          client = connect();
          continue;
        }
        int arrow = line.lastIndexOf("\t-> ");
        String command = line.substring(0, arrow);
        assertEquals(line.substring(arrow + 4), client.call(command.split("\t", 0)), command);
      }
      for (String line : EarlierVersionFiles.lines("restarted/answers.txt")) {
        String[] nameAndAnswer = line.split("\t", 0);
        assertEquals(nameAndAnswer[1], client.call("GET", nameAndAnswer[0]), nameAndAnswer[0]);
      }
    } finally {
      client.close();
    }
  }

  @Test
  void server_startedOnFilesOfTheEarlierVersion_givesTheSameAnswers() throws IOException {
    EarlierVersionFiles.copyTo("restarted", directory);
    start(ALONE);
    try (Connection client = connect()) {
      for (String line : EarlierVersionFiles.lines("restarted/answers.txt")) {
        String[] nameAndAnswer = line.split("\t", 0);
        // The fixture's relative expiries end one day; those that never expire are held for good.
        if (!nameAndAnswer[0].matches("window\\..*|lives|after-snapshot")) {
          assertEquals(nameAndAnswer[1], client.call("GET", nameAndAnswer[0]), nameAndAnswer[0]);
        }
      }
    }
  }

  @Test
  void aloneCounter_answersNodeCommandsWithTheSameWording() throws IOException {
    start(ALONE);
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

  /** The test is the other node: it reads what this one sends and answers as a node does. */
  @Test
  void messagesBetweenNodes_haveTheSameWordsInTheSameOrder() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(TIMEOUT_MILLIS);
      Address peer = new Address("127.0.0.1", listener.getLocalPort());
      start(new CounterSettings.Cluster("n0", 1, 300, 600, Map.of("n1", peer)));
      try (Connection fromNode = new Connection(listener.accept());
          Connection client = connect()) {
        List<String> heartbeat = fromNode.command();
        assertEquals(List.of("FD.BEAT", "n0", "1048576"), heartbeat.subList(0, 3));
        Long.parseLong(heartbeat.get(3)); // The incarnation, by chance.
        assertEquals(List.of("0"), heartbeat.subList(4, heartbeat.size()), "not ready, no stamps");
        fromNode.reply("+OK");
        assertEquals(
            "+OK", client.call("FD.TOLD", "n1", "1", "a.1", "8", "2.5", "1", "2000000000"));
        assertEquals("+OK", client.call("FD.BEAT", "n1", "1048576", "12345", "1", "8", "17"));
        List<String> everything = answerUntilSums(fromNode);
        assertEquals(List.of("n0", "1"), everything.subList(1, 3), "sender, and that it is all");
        assertEquals(List.of("a.1 8 0 1", "a.1 8 2.5 0"), sumsWithoutTimes(everything));
        fromNode.reply("+OK");
        assertEquals("6.5", client.call("FD.SUM", "a.1", "7", "6", "1", "60000"));
        List<String> changed = answerUntilSums(fromNode);
        assertEquals(List.of("n0", "0"), changed.subList(1, 3), "sender, and that it is not all");
        assertEquals(List.of("a.1 7 6 1"), sumsWithoutTimes(changed));
        fromNode.reply("+OK");
        client.call("FD.BEAT", "n1", "1048576", "12345", "1");
        String status = client.call("FD.STATUS");
        assertTrue(
            status.matches("\\[n0 epoch 1 ready,   n1 heard lag (everything|[0-9]+)]"), status);
        assertEquals(
            "+LIST 2 n0=127.0.0.1:1 n1=127.0.0.1:2",
            listAfter(client, "2", "n0=127.0.0.1:1", "n1=127.0.0.1:2"));
      }
    }
  }

  private static List<String> sumsWithoutTimes(List<String> command) {
    assertEquals(0, (command.size() - 3) % 5, command.toString());
    List<String> sums = new ArrayList<>();
    for (int at = 3; at < command.size(); at += 5) {
      sums.add(String.join(" ", command.subList(at, at + 4)));
      assertTrue(Long.parseLong(command.get(at + 4)) > 0, "milliseconds that it is kept");
    }
    sums.sort(null);
    return sums;
  }

  private static String listAfter(Connection client, String... list) throws IOException {
    String[] words = new String[list.length + 1];
    words[0] = "FD.NODES";
    System.arraycopy(list, 0, words, 1, list.length);
    assertEquals(String.join(" ", list), client.call(words));
    return client.call("FD.BEAT", "n1", "1048576", "12345", "1");
  }

  /** Answers heartbeats until sums come; holds their form on the way. */
  private static List<String> answerUntilSums(Connection fromNode) throws IOException {
    while (true) {
      List<String> command = fromNode.command();
      if (command.get(0).equals("FD.TOLD")) {
        return command;
      }
      assertEquals("FD.BEAT", command.get(0));
      assertEquals(1, command.size() % 2, "stamps come in pairs: " + command);
      assertFalse(command.size() < 5, command.toString());
      if (command.size() > 5) {
        assertEquals(List.of("8", "17"), command.subList(5, command.size()), "origin and stamp");
      }
      fromNode.reply("+OK");
    }
  }
}
