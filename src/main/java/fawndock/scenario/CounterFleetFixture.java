package fawndock.scenario;

import fawndock.fake.FaultInjectingProxy;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A replicated counter whose nodes run as separate processes, with a fault-injecting proxy for each
 * direction between two nodes and for each link from a gateway to a node. The proxies are named
 * after the link, for example {@code n0>n1} and {@code g0>n1}.
 */
final class CounterFleetFixture implements AutoCloseable {
  private static final String[] JVM = {"-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"};
  private final List<CounterProcess> nodes = new ArrayList<>();
  private final Map<String, FaultInjectingProxy> proxies = new LinkedHashMap<>();
  private final int gatewayCount;
  private final Path directory;
  private final List<CounterProcess> replacedNodes = new ArrayList<>();
  private boolean closed;

  CounterFleetFixture(Vertx vertx, Path directory, int nodeCount, int gatewayCount)
      throws IOException, InterruptedException {
    this.gatewayCount = gatewayCount;
    this.directory = directory;
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      ports.add(GatewayProcesses.freePort());
    }
    for (int to = 0; to < nodeCount; to++) {
      for (int from = 0; from < nodeCount; from++) {
        if (from != to) {
          addProxy(vertx, "n" + from, to, ports.get(to));
        }
      }
      for (int from = 0; from < gatewayCount; from++) {
        addProxy(vertx, "g" + from, to, ports.get(to));
      }
    }
    for (int i = 0; i < nodeCount; i++) {
      StringBuilder settings =
          new StringBuilder("fleet n" + i + " missing 150ms alone 500ms\nlog text level info\n");
      for (int j = 0; j < nodeCount; j++) {
        if (i != j) {
          settings
              .append("fellow n")
              .append(j)
              .append(" 127.0.0.1:")
              .append(proxy("n" + i, j).port())
              .append('\n');
        }
      }
      nodes.add(
          new CounterProcess(
              Files.createDirectories(directory.resolve("node-" + i)),
              ports.get(i),
              settings.toString(),
              JVM));
    }
    startAll();
  }

  private void addProxy(Vertx vertx, String from, int to, int port) throws IOException {
    FaultInjectingProxy proxy = new FaultInjectingProxy(vertx, port);
    FleetFixture.await(proxy.start());
    proxies.put(from + ">n" + to, proxy);
  }

  private FaultInjectingProxy proxy(String from, int to) {
    return proxies.get(from + ">n" + to);
  }

  /** Starts counting how often the gateways send a command to the nodes. */
  void countCommands(String command) {
    proxies.forEach(
        (link, proxy) -> {
          if (link.startsWith("g")) {
            proxy.countOccurrences(command);
          }
        });
  }

  /** Returns how often the gateways have sent the counted command. */
  long commandCount() {
    return proxies.entrySet().stream()
        .filter(e -> e.getKey().startsWith("g"))
        .mapToLong(e -> e.getValue().occurrenceCount())
        .sum();
  }

  /** Returns the settings lines with which a gateway reaches the nodes. */
  String gatewaySettings(int gatewayIndex) {
    StringBuilder settings = new StringBuilder();
    for (int i = 0; i < nodes.size(); i++) {
      settings
          .append("counter-node n")
          .append(i)
          .append(" 127.0.0.1:")
          .append(proxy("g" + gatewayIndex, i).port())
          .append('\n');
    }
    return settings.toString();
  }

  /**
   * Starts an empty node under a new name to replace the last node. Once the new node listens, the
   * first node gets the new membership list, and the replaced node is killed.
   */
  void replaceLastNode() throws IOException, InterruptedException {
    int lastIndex = nodes.size() - 1;
    CounterProcess replacedNode = nodes.get(lastIndex);
    String name = "n" + (lastIndex + 1);
    StringBuilder settings =
        new StringBuilder("fleet " + name + " missing 150ms alone 500ms\nlog text level info\n");
    StringBuilder nodeList = new StringBuilder();
    for (int i = 0; i < lastIndex; i++) {
      String address = "127.0.0.1:" + nodes.get(i).port();
      settings.append("fellow n").append(i).append(' ').append(address).append('\n');
      nodeList.append("n").append(i).append('=').append(address).append(' ');
    }
    CounterProcess replacement =
        new CounterProcess(
            Files.createDirectories(directory.resolve("node-" + (lastIndex + 1))),
            GatewayProcesses.freePort(),
            settings.toString(),
            JVM);
    nodes.set(lastIndex, replacement);
    replacedNodes.add(replacedNode);
    var unused = // If the node does not start, the checks fail.
        replacement
            .start()
            .thenRun(
                () -> {
                  try (CounterClient client = new CounterClient(nodes.get(0).port())) {
                    client.call(
                        ("FD.NODES 2 " + nodeList + name + "=127.0.0.1:" + replacement.port())
                            .split(" "));
                    replacedNode.kill();
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(
                        "could not send the new membership list: " + e.getMessage(), e);
                  }
                });
  }

  int size() {
    return nodes.size();
  }

  CounterProcess node(int index) {
    return nodes.get(index);
  }

  void startAll() throws IOException, InterruptedException {
    List<CompletableFuture<Void>> starts = new ArrayList<>();
    for (CounterProcess node : nodes) {
      starts.add(node.start());
    }
    try {
      for (CompletableFuture<Void> start : starts) {
        start.get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a counter node did not start: " + e.getCause(), e);
    }
  }

  /** Blocks all traffic from and to a node without closing a connection, or unblocks it. */
  void stall(int node, boolean enabled) {
    proxies.forEach(
        (link, proxy) -> {
          if (link.startsWith("n" + node + ">") || link.endsWith(">n" + node)) {
            proxy.setRequestsBlocked(enabled);
            proxy.setResponsesBlocked(enabled);
          }
        });
  }

  /**
   * Isolates one node and the first half of the gateways from the other nodes and gateways, or ends
   * the partition.
   */
  void partition(int node, boolean enabled) {
    proxies.forEach(
        (link, proxy) -> {
          String from = link.substring(0, link.indexOf('>'));
          boolean fromIsolatedSide =
              from.equals("n" + node)
                  || (from.startsWith("g")
                      && Integer.parseInt(from.substring(1)) < gatewayCount / 2);
          if (fromIsolatedSide != link.endsWith(">n" + node)) {
            proxy.setRequestsBlocked(enabled);
            proxy.setResponsesBlocked(enabled);
          }
        });
  }

  /**
   * Blocks what one node sends to another and leaves the opposite direction open, or unblocks it.
   */
  void blockOneWay(int from, int to, boolean enabled) {
    proxy("n" + from, to).setRequestsBlocked(enabled);
    proxy("n" + to, from).setResponsesBlocked(enabled);
  }

  /**
   * Returns whether a count added at each node reaches all other nodes within a short time; uses
   * keys that only this check writes.
   */
  boolean isReplicating(long probeId) {
    String[] probeKeys = new String[nodes.size()];
    try {
      for (int i = 0; i < nodes.size(); i++) {
        probeKeys[i] = "probe" + i + "-" + probeId;
        try (CounterClient client = new CounterClient(nodes.get(i).port())) {
          if (!"1".equals(client.call("FD.SUM", probeKeys[i], "1", "1", "0", "60000"))) {
            return false;
          }
        }
      }
      for (int poll = 0; poll < 20; poll++) {
        if (isReplicatedToAll(probeKeys)) {
          return true;
        }
        Thread.sleep(20);
      }
    } catch (IOException e) {
      // A node does not listen yet.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }

  private boolean isReplicatedToAll(String[] probeKeys) throws IOException {
    for (CounterProcess node : nodes) {
      try (CounterClient client = new CounterClient(node.port())) {
        for (String key : probeKeys) {
          if (!"1".equals(client.call("GET", key))) {
            return false;
          }
        }
      }
    }
    return true;
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    replacedNodes.forEach(CounterProcess::close);
    nodes.forEach(CounterProcess::close);
    proxies.values().forEach(FaultInjectingProxy::stop);
  }
}
