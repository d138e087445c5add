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

/** Tests three replicas of a counter through the commands that gateways send. */
class CounterClusterTest {
  private static final int NODE_COUNT = 3;
  @TempDir private Path directory;
  private final List<Integer> ports = new ArrayList<>();
  private final Map<Integer, CounterServer> servers = new TreeMap<>();
  private final Map<Integer, FileStorage> storages = new TreeMap<>();

  @BeforeEach
  void start() throws IOException {
    for (int i = 0; i < NODE_COUNT; i++) {
      try (ServerSocket socket = new ServerSocket(0)) {
        ports.add(socket.getLocalPort());
      }
    }
    for (int i = 0; i < NODE_COUNT; i++) {
      start(i, 1);
    }
  }

  private void start(int node, long epoch) throws IOException {
    Map<String, Address> peers = new TreeMap<>();
    for (int i = 0; i < NODE_COUNT; i++) {
      if (i != node) {
        peers.put("n" + i, new Address("127.0.0.1", ports.get(i)));
      }
    }
    Path nodeDirectory = directory.resolve("n" + node);
    storages.put(node, new FileStorage(nodeDirectory, true));
    servers.put(
        node,
        new CounterServer(
            new CounterSettings(
                new Address("127.0.0.1", ports.get(node)),
                nodeDirectory,
                Durability.ALWAYS,
                1_000,
                1 << 20,
                "",
                100,
                1 << 20,
                10_000,
                new LogSettings(false, "error"),
                new CounterSettings.Cluster("n" + node, epoch, 300, 600, peers)),
            storages.get(node)));
    servers.get(node).start(bytesRead -> {});
  }

  @AfterEach
  void stop() throws IOException {
    for (int node : List.copyOf(servers.keySet())) {
      stop(node);
    }
  }

  private void stop(int node) throws IOException {
    servers.remove(node).close();
    storages.remove(node).close();
  }

  private String call(int node, String... words) {
    try (Jedis client = new Jedis("127.0.0.1", ports.get(node), 20_000)) {
      String[] arguments = java.util.Arrays.copyOfRange(words, 1, words.length);
      Object reply =
          client.sendCommand(
              () -> words[0].getBytes(java.nio.charset.StandardCharsets.UTF_8), arguments);
      return reply instanceof byte[] bytes
          ? new String(bytes, java.nio.charset.StandardCharsets.UTF_8)
          : String.valueOf(reply);
    }
  }

  /**
   * Repeats a call until the node gives the expected reply, for example once it has caught up or
   * has the membership list.
   */
  private void callUntilReply(int node, String expected, String... words) {
    String reply = "";
    while (!expected.equals(reply)) { // The timeout of the test ends the loop.
      try {
        reply = call(node, words);
      } catch (JedisDataException e) {
        assertTrue(
            e.getMessage().matches("(LOADING|FENCED).*"),
            e.getMessage()); // Also until the node has the list.
      }
    }
  }

  @Test
  void sum_sentRepeatedlyToAnyNode_countsOnceOnAllNodes() {
    callUntilReply(0, "5", "FD.SUM", "a.1", "7", "5", "0", "60000");
    callUntilReply(1, "5", "GET", "a.1");
    callUntilReply(1, "6", "FD.SUM", "a.1", "7", "7", "1", "60000");
    assertEquals(
        "6", call(1, "FD.SUM", "a.1", "7", "5", "0", "60000"), "an older sum changes nothing");
    callUntilReply(2, "8.5", "FD.SUM", "a.1", "8", "2.5", "0", "60000");
    for (int i = 0; i < NODE_COUNT; i++) {
      callUntilReply(i, "8.5", "GET", "a.1");
    }
  }

  @Test
  void nodeWithoutData_servesOnlyAfterReceivingTheFullState() throws IOException {
    for (int i = 0; i < 500; i++) {
      callUntilReply(0, "1", "FD.SUM", "name-" + i + ".1", "7", "1", "0", "60000");
    }
    callUntilReply(2, "1", "GET", "name-499.1");
    stop(2);
    try (Stream<Path> files = Files.list(directory.resolve("n2"))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    start(2, 1);
    callUntilReply(
        2,
        "2",
        "FD.SUM",
        "name-250.1",
        "8",
        "1",
        "0",
        "60000"); // The first reply includes the sums of the other nodes.
    for (int i = 0; i < 500; i++) {
      assertEquals(i == 250 ? "2" : "1", call(2, "GET", "name-" + i + ".1"));
    }
  }

  @Test
  void node_withAnOldMembershipList_isFenced() throws IOException {
    callUntilReply(0, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
    stop(2);
    start(2, 2);
    String reply = "";
    while (!reply.startsWith("FENCED")) {
      reply =
          assertThrows(
                  JedisDataException.class,
                  () -> {
                    while (true) {
                      call(0, "FD.SUM", "a.1", "7", "1", "0", "60000");
                    }
                  })
              .getMessage();
    }
    callUntilReply(2, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
  }

  @Test
  void membershipList_givenToOneNode_reachesAllAndFencesTheRemovedNode() throws IOException {
    callUntilReply(0, "1", "FD.SUM", "a.1", "7", "1", "0", "60000");
    try (ServerSocket socket = new ServerSocket(0)) {
      ports.add(socket.getLocalPort());
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
        "the node is not on the other nodes' list yet");
    assertEquals(list, call(0, words));
    callUntilReply(
        3, "2", "FD.SUM", "a.1", "8", "1", "0",
        "60000"); // The first reply includes the sums of the other nodes.
    for (int node : List.of(1, 2, 3)) {
      callUntilReply(node, list, "FD.NODES");
    }
    assertTrue(
        assertThrows(
                JedisDataException.class, () -> call(2, "FD.SUM", "a.1", "7", "1", "0", "60000"))
            .getMessage()
            .startsWith("FENCED"));
    stop(2);
    start(2, 1); // The node starts with the list in its settings, which includes it.
    callUntilReply(2, list, "FD.NODES");
    assertEquals(
        list,
        call(0, ("FD.NODES 1 n0=127.0.0.1:" + ports.get(0)).split(" ")),
        "an older list changes nothing");
  }
}
