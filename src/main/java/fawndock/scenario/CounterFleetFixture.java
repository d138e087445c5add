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
 * Counter nodes as processes, with a relay for every way between two of them and between a gateway
 * and a node.
 */
final class CounterFleetFixture implements AutoCloseable {
  private static final String[] JVM = {"-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"};
  private final List<CounterProcess> nodes = new ArrayList<>();
  private final Map<String, FaultInjectingProxy> proxies = new LinkedHashMap<>();
  private final int gatewayCount;
  private final Path directory;
  private final List<CounterProcess> replaced = new ArrayList<>();
  private boolean closed;

  CounterFleetFixture(Vertx vertx, Path folder, int count, int gateways)
      throws IOException, InterruptedException {
    this.gatewayCount = gateways;
    this.directory = folder;
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(GatewayProcesses.freePort());
    }
    for (int to = 0; to < count; to++) {
      for (int from = 0; from < count; from++) {
        if (from != to) {
          addProxy(vertx, "n" + from, to, ports.get(to));
        }
      }
      for (int from = 0; from < gateways; from++) {
        addProxy(vertx, "g" + from, to, ports.get(to));
      }
    }
    for (int i = 0; i < count; i++) {
      StringBuilder text =
          new StringBuilder("fleet n" + i + " missing 150ms alone 500ms\nlog text level info\n");
      for (int j = 0; j < count; j++) {
        if (i != j) {
          text.append("fellow n")
              .append(j)
              .append(" 127.0.0.1:")
              .append(proxy("n" + i, j).port())
              .append('\n');
        }
      }
      nodes.add(
          new CounterProcess(
              Files.createDirectories(folder.resolve("node-" + i)),
              ports.get(i),
              text.toString(),
              JVM));
    }
    startAll();
  }

  private void addProxy(Vertx vertx, String from, int to, int port) throws IOException {
    FaultInjectingProxy relay = new FaultInjectingProxy(vertx, port);
    FleetFixture.await(relay.start());
    proxies.put(from + ">n" + to, relay);
  }

  private FaultInjectingProxy proxy(String from, int to) {
    return proxies.get(from + ">n" + to);
  }

  /** Counts from now on how often gateways send a word to the nodes. */
  void countCommands(String word) {
    proxies.forEach(
        (way, relay) -> {
          if (way.startsWith("g")) {
            relay.countOccurrences(word);
          }
        });
  }

  /** How often they did. */
  long commandCount() {
    return proxies.entrySet().stream()
        .filter(e -> e.getKey().startsWith("g"))
        .mapToLong(e -> e.getValue().occurrenceCount())
        .sum();
  }

  /** The settings lines of a gateway. */
  String gatewaySettings(int gateway) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < nodes.size(); i++) {
      text.append("counter-node n")
          .append(i)
          .append(" 127.0.0.1:")
          .append(proxy("g" + gateway, i).port())
          .append('\n');
    }
    return text.toString();
  }

  /**
   * Starts an empty node under a new name, and gives the first the list with it in the place of the
   * last.
   */
  void replaceLast() throws IOException, InterruptedException {
    int last = nodes.size() - 1;
    CounterProcess old = nodes.get(last);
    String name = "n" + (last + 1);
    StringBuilder text =
        new StringBuilder("fleet " + name + " missing 150ms alone 500ms\nlog text level info\n");
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < last; i++) {
      String address = "127.0.0.1:" + nodes.get(i).port();
      text.append("fellow n").append(i).append(' ').append(address).append('\n');
      list.append("n").append(i).append('=').append(address).append(' ');
    }
    CounterProcess made =
        new CounterProcess(
            Files.createDirectories(directory.resolve("node-" + (last + 1))),
            GatewayProcesses.freePort(),
            text.toString(),
            JVM);
    nodes.set(last, made);
    replaced.add(old);
    var unused = // A node that does not start shows in the scenario.
        made.start()
            .thenRun(
                () -> {
                  try (CounterClient caller = new CounterClient(nodes.get(0).port())) {
                    caller.call(
                        ("FD.NODES 2 " + list + name + "=127.0.0.1:" + made.port()).split(" "));
                    old.kill();
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(
                        "the new list could not be given: " + e.getMessage(), e);
                  }
                });
  }

  int size() {
    return nodes.size();
  }

  CounterProcess node(int i) {
    return nodes.get(i);
  }

  void startAll() throws IOException, InterruptedException {
    List<CompletableFuture<Void>> starting = new ArrayList<>();
    for (CounterProcess each : nodes) {
      starting.add(each.start());
    }
    try {
      for (CompletableFuture<Void> each : starting) {
        each.get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a counter node did not start: " + e.getCause(), e);
    }
  }

  /** Nothing passes from or to a node, and no connection is closed. */
  void stall(int node, boolean on) {
    proxies.forEach(
        (way, relay) -> {
          if (way.startsWith("n" + node + ">") || way.endsWith(">n" + node)) {
            relay.setRequestsBlocked(on);
            relay.setResponsesBlocked(on);
          }
        });
  }

  /** Cuts one node and the first half of the gateways off from the others. */
  void partition(int node, boolean on) {
    proxies.forEach(
        (way, relay) -> {
          String from = way.substring(0, way.indexOf('>'));
          boolean here =
              from.equals("n" + node)
                  || (from.startsWith("g")
                      && Integer.parseInt(from.substring(1)) < gatewayCount / 2);
          if (here != way.endsWith(">n" + node)) {
            relay.setRequestsBlocked(on);
            relay.setResponsesBlocked(on);
          }
        });
  }

  /** Nothing that one node sends reaches another, while the other way is open. */
  void blockOneWay(int from, int to, boolean on) {
    proxy("n" + from, to).setRequestsBlocked(on);
    proxy("n" + to, from).setResponsesBlocked(on);
  }

  /**
   * Whether what is told to each node is known by all others, judged by a name of the drill's own.
   */
  boolean isReplicating(long round) {
    String[] told = new String[nodes.size()];
    try {
      for (int i = 0; i < nodes.size(); i++) {
        told[i] = "probe" + i + "-" + round;
        try (CounterClient caller = new CounterClient(nodes.get(i).port())) {
          if (!"1".equals(caller.call("FD.SUM", told[i], "1", "1", "0", "60000"))) {
            return false;
          }
        }
      }
      for (int tries = 0; tries < 20; tries++) {
        if (isKnownByAll(told)) {
          return true;
        }
        Thread.sleep(20);
      }
    } catch (IOException e) {
      // One does not listen yet.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }

  private boolean isKnownByAll(String[] told) throws IOException {
    for (CounterProcess node : nodes) {
      try (CounterClient caller = new CounterClient(node.port())) {
        for (String each : told) {
          if (!"1".equals(caller.call("GET", each))) {
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
    replaced.forEach(CounterProcess::close);
    nodes.forEach(CounterProcess::close);
    proxies.values().forEach(FaultInjectingProxy::stop);
  }
}
