package fawndock.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.config.CounterSettings;
import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.LogSettings;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.exceptions.JedisDataException;

/** Three replicas of a counter, as gateways see them. */
class CounterClusterTest {
  private static final int NODES = 3;
  @TempDir private Path directory;
  private final List<Integer> ports = new ArrayList<>();
  private final Map<Integer, CounterServer> servers = new TreeMap<>();
  private final Map<Integer, FileStorage> disks = new TreeMap<>();

  @BeforeEach
  void start() throws IOException {
    for (int i = 0; i < NODES; i++) {
      try (ServerSocket free = new ServerSocket(0)) {
        ports.add(free.getLocalPort());
      }
    }
    for (int i = 0; i < NODES; i++) {
      start(i, 1);
    }
  }

  private void start(int node, long epoch) throws IOException {
    Map<String, Address> peers = new TreeMap<>();
    for (int i = 0; i < NODES; i++) {
      if (i != node) {
        peers.put("n" + i, new Address("127.0.0.1", ports.get(i)));
      }
    }
    Path of = directory.resolve("n" + node);
    disks.put(node, new FileStorage(of, true));
    servers.put(
        node,
        new CounterServer(
            new CounterSettings(
                new Address("127.0.0.1", ports.get(node)),
                of,
                Durability.ALWAYS,
                1_000,
                1 << 20,
                "",
                100,
                1 << 20,
                10_000,
                new LogSettings(false, "error"),
                new CounterSettings.Cluster("n" + node, epoch, 300, 600, peers)),
            disks.get(node)));
    servers.get(node).start(b -> {});
  }

  @AfterEach
  void stop() throws IOException {
    for (int node : List.copyOf(servers.keySet())) {
      stop(node);
    }
  }

  private void stop(int node) throws IOException {
    servers.remove(node).close();
    disks.remove(node).close();
  }

  private String call(int node, String... words) {
    try (Jedis c = new Jedis("127.0.0.1", ports.get(node), 20_000)) {
      String[] rest = java.util.Arrays.copyOfRange(words, 1, words.length);
      Object answer =
          c.sendCommand(() -> words[0].getBytes(java.nio.charset.StandardCharsets.UTF_8), rest);
      return answer instanceof byte[] bytes
          ? new String(bytes, java.nio.charset.StandardCharsets.UTF_8)
          : String.valueOf(answer);
    }
  }

  /** Repeats a call until the node has caught up, or has the list. */
  private void until(int node, String expected, String... words) {
    String answer = "";
    while (!expected.equals(answer)) { // The test's own time limit ends it.
      try {
        answer = call(node, words);
      } catch (JedisDataException e) {
        assertTrue(
            e.getMessage().matches("(LOADING|FENCED).*"),
            e.getMessage()); // Until it has the list, too.
      }
    }
  }

  @Test
  void sum_sentToAnyNodeAndAgain_countsOnceEverywhere() {
    until(0, "5", "FD.SUM", "a.1", "7", "5", "0", "60000");
    until(1, "5", "GET", "a.1");
    until(1, "6", "FD.SUM", "a.1", "7", "7", "1", "60000");
    assertEquals(
        "6", call(1, "FD.SUM", "a.1", "7", "5", "0", "60000"), "an older sum changes nothing");
    until(2, "8.5", "FD.SUM", "a.1", "8", "2.5", "0", "60000");
    for (int i = 0; i < NODES; i++) {
      until(i, "8.5", "GET", "a.1");
    }
  }

  @Test
  void emptyNode_answersOnceItHasTheFullState() throws IOException {
    for (int i = 0; i < 500; i++) {
      until(0, "1", "FD.SUM", "name-" + i + ".1", "7", "1", "0", "60000");
    }
    until(2, "1", "GET", "name-499.1");
    stop(2);
    try (Stream<Path> files = Files.list(directory.resolve("n2"))) {
      for (Path each : files.toList()) {
        Files.delete(each);
      }
    }
    start(2, 1);
    until(
        2,
        "2",
        "FD.SUM",
        "name-250.1",
        "8",
        "1",
        "0",
        "60000"); // Its first answer has the others' sums.
    for (int i = 0; i < 500; i++) {
      assertEquals(i == 250 ? "2" : "1", call(2, "GET", "name-" + i + ".1"));
    }
  }

  @Test
  void node_withAnOldMembershipList_isFenced() throws IOException {
    until(0, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
    stop(2);
    start(2, 2);
    String answer = "";
    while (!answer.startsWith("FENCED")) {
      answer =
          assertThrows(
                  JedisDataException.class,
                  () -> {
                    while (true) {
                      call(0, "FD.SUM", "a.1", "7", "1", "0", "60000");
                    }
                  })
              .getMessage();
    }
    until(2, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
  }

  @Test
  void membershipList_givenToOneNode_reachesAllAndFencesTheRemovedOne() throws IOException {
    until(0, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
    try (ServerSocket free = new ServerSocket(0)) {
      ports.add(free.getLocalPort());
    }
    start(3, 1);
    String list =
        "2 n0=127.0.0.1:"
            + ports.get(0)
            + " n1=127.0.0.1:"
            + ports.get(1)
            + " n3=127.0.0.1:"
            + ports.get(3);
    String[] words = ("FD.NODES " + list).split(" ");
    assertThrows(JedisDataException.class, () -> call(0, "FD.NODES", "2", "n0=nowhere"));
    assertThrows(
        JedisDataException.class,
        () -> call(3, "FD.SUM", "a.1", "8", "1", "0", "60000"),
        "it is not on the others' list yet");
    assertEquals(list, call(0, words));
    until(
        3, "2", "FD.SUM", "a.1", "8", "1", "0",
        "60000"); // Its first answer has what the others had.
    for (int node : List.of(1, 2, 3)) {
      until(node, list, "FD.NODES");
    }
    assertTrue(
        assertThrows(
                JedisDataException.class, () -> call(2, "FD.SUM", "a.1", "7", "1", "0", "60000"))
            .getMessage()
            .startsWith("FENCED"));
    stop(2);
    start(2, 1); // By the list in its settings, on which it is.
    until(2, list, "FD.NODES");
    assertEquals(
        list,
        call(0, ("FD.NODES 1 n0=127.0.0.1:" + ports.get(0)).split(" ")),
        "an older list changes nothing");
  }
}
