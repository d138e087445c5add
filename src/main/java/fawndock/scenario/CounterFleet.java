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
 * Counter nodes as processes, with a relay for every way between two of them and between a
 * gatekeeper and a node.
 */
final class CounterFleet implements AutoCloseable {
  private static final String[] JVM = {"-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"};
  private final List<CounterProcess> nodes = new ArrayList<>();
  private final Map<String, FaultInjectingProxy> relays = new LinkedHashMap<>();
  private final int gatekeepers;
  private final Path folder;
  private final List<CounterProcess> replaced = new ArrayList<>();
  private boolean closed;

  CounterFleet(Vertx vertx, Path folder, int count, int gatekeepers)
      throws IOException, InterruptedException {
    this.gatekeepers = gatekeepers;
    this.folder = folder;
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(Gatekeepers.freePort());
    }
    for (int to = 0; to < count; to++) {
      for (int from = 0; from < count; from++) {
        if (from != to) {
          relay(vertx, "n" + from, to, ports.get(to));
        }
      }
      for (int from = 0; from < gatekeepers; from++) {
        relay(vertx, "g" + from, to, ports.get(to));
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
              .append(way("n" + i, j).port())
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

  private void relay(Vertx vertx, String from, int to, int port) throws IOException {
    FaultInjectingProxy relay = new FaultInjectingProxy(vertx, port);
    Scene.await(relay.start());
    relays.put(from + ">n" + to, relay);
  }

  private FaultInjectingProxy way(String from, int to) {
    return relays.get(from + ">n" + to);
  }

  /** Counts from now on how often gatekeepers send a word to the nodes. */
  void count(String word) {
    relays.forEach(
        (way, relay) -> {
          if (way.startsWith("g")) {
            relay.count(word);
          }
        });
  }

  /** How often they did. */
  long counted() {
    return relays.entrySet().stream()
        .filter(e -> e.getKey().startsWith("g"))
        .mapToLong(e -> e.getValue().counted())
        .sum();
  }

  /** The settings lines of a gatekeeper. */
  String lines(int gatekeeper) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < nodes.size(); i++) {
      text.append("counter-node n")
          .append(i)
          .append(" 127.0.0.1:")
          .append(way("g" + gatekeeper, i).port())
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
            Files.createDirectories(folder.resolve("node-" + (last + 1))),
            Gatekeepers.freePort(),
            text.toString(),
            JVM);
    nodes.set(last, made);
    replaced.add(old);
    made.start()
        .thenRun(
            () -> {
              try (CounterCaller caller = new CounterCaller(nodes.get(0).port())) {
                caller.call(("FD.NODES 2 " + list + name + "=127.0.0.1:" + made.port()).split(" "));
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
        each.get(Child.START_SECONDS, TimeUnit.SECONDS);
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a counter node did not start: " + e.getCause(), e);
    }
  }

  /** Nothing passes from or to a node, and no connection is closed. */
  void stall(int node, boolean on) {
    relays.forEach(
        (way, relay) -> {
          if (way.startsWith("n" + node + ">") || way.endsWith(">n" + node)) {
            relay.deaf(on);
            relay.silent(on);
          }
        });
  }

  /** Cuts one node and the first half of the gatekeepers off from the others. */
  void split(int node, boolean on) {
    relays.forEach(
        (way, relay) -> {
          String from = way.substring(0, way.indexOf('>'));
          boolean here =
              from.equals("n" + node)
                  || from.startsWith("g") && Integer.parseInt(from.substring(1)) < gatekeepers / 2;
          if (here != way.endsWith(">n" + node)) {
            relay.deaf(on);
            relay.silent(on);
          }
        });
  }

  /** Nothing that one node sends reaches another, while the other way is open. */
  void oneWay(int from, int to, boolean on) {
    way("n" + from, to).deaf(on);
    way("n" + to, from).silent(on);
  }

  /**
   * Whether what is told to each node is known by all others, judged by a name of the drill's own.
   */
  boolean agrees(long round) {
    String[] told = new String[nodes.size()];
    try {
      for (int i = 0; i < nodes.size(); i++) {
        told[i] = "probe" + i + "-" + round;
        try (CounterCaller caller = new CounterCaller(nodes.get(i).port())) {
          if (!"1".equals(caller.call("FD.SUM", told[i], "1", "1", "0", "60000"))) {
            return false;
          }
        }
      }
      for (int tries = 0; tries < 20; tries++) {
        if (known(told)) {
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

  private boolean known(String[] told) throws IOException {
    for (CounterProcess node : nodes) {
      try (CounterCaller caller = new CounterCaller(node.port())) {
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
    relays.values().forEach(FaultInjectingProxy::stop);
  }
}
