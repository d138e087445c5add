package fawndock.scenario;

import fawndock.conformance.ConformanceResult;
import fawndock.fake.FakeBackend;
import fawndock.fake.FakeEndpointFeed;
import fawndock.fake.TraceRecorder;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntFunction;

/**
 * The environment of a scenario: fake backends and endpoint discovery in this process, and a
 * counter and gateways in separate processes.
 */
public final class FleetFixture implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 20;
  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  public final TraceRecorder recorder = new TraceRecorder();
  public final FakeEndpointFeed discovery = new FakeEndpointFeed(vertx, recorder);
  public final CounterFixture counter;
  public final List<FakeBackend> backends = new ArrayList<>();
  public final GatewayProcesses gateways;
  private final Path directory;
  private boolean closed;

  /** Starts a counter and backends of one configuration, warmed up and listed as running. */
  public FleetFixture(int backendCount, FakeBackend.BackendConfig backendConfig, long seed)
      throws IOException, InterruptedException {
    this(backendCount, backendConfig, seed, true);
  }

  /**
   * Starts backends of one configuration, warmed up and listed as running.
   *
   * @param withCounter whether to start a counter; if not, the settings of the gateways must name
   *     the counter nodes
   */
  public FleetFixture(
      int backendCount, FakeBackend.BackendConfig backendConfig, long seed, boolean withCounter)
      throws IOException, InterruptedException {
    directory = Files.createTempDirectory("fawndock-drill");
    gateways =
        new GatewayProcesses(
            directory, recorder, "-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    counter = withCounter ? new CounterFixture(vertx, directory) : null;
    Set<String> deduplicationKeys = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < backendCount; i++) {
      FakeBackend backend =
          new FakeBackend(vertx, "worker-" + i, backendConfig, recorder, seed * 1_000 + i)
              .withDeduplicationKeys(deduplicationKeys);
      backends.add(backend);
      await(backend.start(false));
      discovery.publish(endpointEntry(i, "running"));
    }
  }

  /** Returns the entry of a backend in endpoint discovery. */
  public FakeEndpointFeed.EndpointEntry endpointEntry(int index, String state) {
    FakeBackend backend = backends.get(index);
    return new FakeEndpointFeed.EndpointEntry(
        backend.id(), backend.port(), "here", index / 4, state, backend.startedAtMicros());
  }

  /**
   * Adds gateways that use the counter of this fixture. Each gateway has its own port and its own
   * endpoint discovery, and all of them are peers.
   *
   * @param commonSettings settings lines of every gateway
   */
  public void addGateways(int gatewayCount, String commonSettings) throws IOException {
    addGateways(gatewayCount, i -> "counter 127.0.0.1:" + counter.port() + "\n" + commonSettings);
  }

  /**
   * Adds gateways that are peers, each with its own port and endpoint discovery.
   *
   * @param settingsByIndex returns the further settings lines of a gateway
   */
  public void addGateways(int gatewayCount, IntFunction<String> settingsByIndex)
      throws IOException {
    List<Integer> ports = new ArrayList<>();
    List<Integer> peerPorts = new ArrayList<>();
    for (int i = 0; i < gatewayCount; i++) {
      ports.add(GatewayProcesses.freePort());
      peerPorts.add(GatewayProcesses.freePort());
    }
    for (int i = 0; i < gatewayCount; i++) {
      StringBuilder settings =
          new StringBuilder(
              "listen 127.0.0.1:"
                  + ports.get(i)
                  + "\ngatekeeper "
                  + i
                  + " of "
                  + gatewayCount
                  + "\nseed 7\nroster 127.0.0.1:"
                  + await(discovery.listen(i))
                  + " silence 3s\npeer-listen 127.0.0.1:"
                  + peerPorts.get(i)
                  + "\n");
      for (int j = 0; j < gatewayCount; j++) {
        settings
            .append("peer ")
            .append(j)
            .append(" 127.0.0.1:")
            .append(peerPorts.get(j))
            .append('\n');
      }
      gateways.writeSettings(i, ports.get(i), settings + settingsByIndex.apply(i));
    }
  }

  /**
   * Adds processes that run several gateways each. The gateways of a process share its port, and
   * all gateways form one fleet.
   *
   * @param settingsByIndex returns the further settings lines of a process
   */
  public void addMultiInstanceGateways(
      int processCount, int instancesPerProcess, IntFunction<String> settingsByIndex)
      throws IOException {
    for (int i = 0; i < processCount; i++) {
      int port = GatewayProcesses.freePort();
      gateways.writeSettings(
          i,
          port,
          "listen 127.0.0.1:"
              + port
              + "\ninstances "
              + instancesPerProcess
              + "\ngatekeeper "
              + i * instancesPerProcess
              + " of "
              + processCount * instancesPerProcess
              + "\nseed 7\nroster 127.0.0.1:"
              + await(discovery.listen(i))
              + " silence 3s\n"
              + settingsByIndex.apply(i));
    }
  }

  /**
   * Waits for an operation of a fake.
   *
   * @throws IOException if the operation fails or takes longer than 20 s
   */
  public static <T> T await(Future<T> future) throws IOException {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a fake failed: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Returns the directory of the settings and logs of the gateways. */
  public Path directory() {
    return directory;
  }

  /**
   * Prints the violations, closes everything and prints the summary line last; returns whether the
   * trace is conformant. If it is not, the settings and logs of the gateways are kept.
   */
  public boolean conclude(ConformanceResult result, PrintStream out) throws IOException {
    result.violations().forEach(violation -> out.println("  " + violation));
    closeAndCleanUp(result.isConformant(), out);
    out.println(result.summaryLine());
    return result.isConformant();
  }

  /**
   * Closes everything. Deletes the settings and logs if the scenario passed, and prints their
   * directory otherwise.
   */
  void closeAndCleanUp(boolean passed, PrintStream out) throws IOException {
    close();
    if (passed) {
      TemporaryDirectories.delete(directory);
    } else {
      out.println("settings and logs of the gatekeepers: " + directory);
    }
  }

  @Override
  public void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    gateways.close();
    if (counter != null) {
      counter.close();
    }
    await(vertx.close());
  }
}
