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

/** Everything that surrounds the gateways of a drill, and the gateways' processes. */
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

  /** Backends of one build, warm and listed as running, and a counter. */
  public FleetFixture(int count, FakeBackend.BackendConfig build, long seed)
      throws IOException, InterruptedException {
    this(count, build, seed, true);
  }

  /**
   * @param counted whether there is a counter; without, the settings must name what the gateways
   *     ask
   */
  public FleetFixture(int count, FakeBackend.BackendConfig build, long seed, boolean counted)
      throws IOException, InterruptedException {
    directory = Files.createTempDirectory("fawndock-drill");
    gateways =
        new GatewayProcesses(
            directory, recorder, "-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    counter = counted ? new CounterFixture(vertx, directory) : null;
    Set<String> keys = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < count; i++) {
      FakeBackend worker =
          new FakeBackend(vertx, "worker-" + i, build, recorder, seed * 1_000 + i)
              .withDeduplicationKeys(keys);
      backends.add(worker);
      await(worker.start(false));
      discovery.publish(endpointEntry(i, "running"));
    }
  }

  /** How endpoint discovery lists a backend. */
  public FakeEndpointFeed.EndpointEntry endpointEntry(int worker, String state) {
    FakeBackend w = backends.get(worker);
    return new FakeEndpointFeed.EndpointEntry(
        w.id(), w.port(), "here", worker / 4, state, w.startedAtMicros());
  }

  /**
   * Adds gateways, each with a port of its own, endpoint discovery of its own and the others as
   * peers.
   *
   * @param common lines that all of their settings have
   */
  public void addGateways(int count, String common) throws IOException {
    addGateways(count, i -> "counter 127.0.0.1:" + counter.port() + "\n" + common);
  }

  /** Adds gateways, each with lines of its own. */
  public void addGateways(int count, IntFunction<String> lines) throws IOException {
    List<Integer> ports = new ArrayList<>();
    List<Integer> peerPorts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(GatewayProcesses.freePort());
      peerPorts.add(GatewayProcesses.freePort());
    }
    for (int i = 0; i < count; i++) {
      StringBuilder text =
          new StringBuilder(
              "listen 127.0.0.1:"
                  + ports.get(i)
                  + "\ngatekeeper "
                  + i
                  + " of "
                  + count
                  + "\nseed 7\nroster 127.0.0.1:"
                  + await(discovery.listen(i))
                  + " silence 3s\npeer-listen 127.0.0.1:"
                  + peerPorts.get(i)
                  + "\n");
      for (int j = 0; j < count; j++) {
        text.append("peer ").append(j).append(" 127.0.0.1:").append(peerPorts.get(j)).append('\n');
      }
      gateways.writeSettings(i, ports.get(i), text + lines.apply(i));
    }
  }

  /**
   * Adds processes with several gateways of one fleet in each, which share its port, and lines of
   * its own.
   */
  public void addMultiInstanceGateways(int count, int instances, IntFunction<String> lines)
      throws IOException {
    for (int i = 0; i < count; i++) {
      int port = GatewayProcesses.freePort();
      gateways.writeSettings(
          i,
          port,
          "listen 127.0.0.1:"
              + port
              + "\ninstances "
              + instances
              + "\ngatekeeper "
              + i * instances
              + " of "
              + count * instances
              + "\nseed 7\nroster 127.0.0.1:"
              + await(discovery.listen(i))
              + " silence 3s\n"
              + lines.apply(i));
    }
  }

  /** Waits for something of the fakes. */
  public static <T> T await(Future<T> what) throws IOException {
    try {
      return what.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a stand-in failed: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Where the settings and logs of the gateways are. */
  public Path directory() {
    return directory;
  }

  /**
   * Ends a drill: prints the breaches, closes everything, and prints the verdict last. The
   * gateways' settings and logs stay when a rule was broken.
   */
  public boolean conclude(ConformanceResult verdict, PrintStream out) throws IOException {
    verdict.violations().forEach(b -> out.println("  " + b));
    closeAndCleanUp(verdict.isConformant(), out);
    out.println(verdict.summaryLine());
    return verdict.isConformant();
  }

  /**
   * Closes everything, and removes settings and logs when they are not needed, or tells where they
   * are.
   */
  void closeAndCleanUp(boolean well, PrintStream out) throws IOException {
    close();
    if (well) {
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
