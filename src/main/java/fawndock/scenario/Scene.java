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

/** Everything that surrounds the gatekeepers of a drill, and the gatekeepers' processes. */
public final class Scene implements AutoCloseable {
  private static final int WAIT_SECONDS = 20;
  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  public final TraceRecorder recorder = new TraceRecorder();
  public final FakeEndpointFeed roster = new FakeEndpointFeed(vertx, recorder);
  public final SceneCounter counter;
  public final List<FakeBackend> workers = new ArrayList<>();
  public final Gatekeepers gatekeepers;
  private final Path folder;
  private boolean closed;

  /** Workers of one build, warm and listed as running, and a counter. */
  public Scene(int count, FakeBackend.Build build, long seed)
      throws IOException, InterruptedException {
    this(count, build, seed, true);
  }

  /**
   * @param counted whether there is a counter; without, the settings must name what the gatekeepers
   *     ask
   */
  public Scene(int count, FakeBackend.Build build, long seed, boolean counted)
      throws IOException, InterruptedException {
    folder = Files.createTempDirectory("fawndock-drill");
    gatekeepers =
        new Gatekeepers(
            folder, recorder, "-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    counter = counted ? new SceneCounter(vertx, folder) : null;
    Set<String> keys = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < count; i++) {
      FakeBackend worker =
          new FakeBackend(vertx, "worker-" + i, build, recorder, seed * 1_000 + i)
              .droppingRepeatsBy(keys);
      workers.add(worker);
      await(worker.start(false));
      roster.tell(entry(i, "running"));
    }
  }

  /** How the roster lists a worker. */
  public FakeEndpointFeed.Entry entry(int worker, String state) {
    FakeBackend w = workers.get(worker);
    return new FakeEndpointFeed.Entry(w.id(), w.port(), "here", worker / 4, state, w.startedAt());
  }

  /**
   * Adds gatekeepers, each with a port of its own, a roster of its own and the others as peers.
   *
   * @param common lines that all of their settings have
   */
  public void gatekeepers(int count, String common) throws IOException {
    gatekeepers(count, i -> "counter 127.0.0.1:" + counter.port() + "\n" + common);
  }

  /** Adds gatekeepers, each with lines of its own. */
  public void gatekeepers(int count, IntFunction<String> lines) throws IOException {
    List<Integer> ports = new ArrayList<>();
    List<Integer> peerPorts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(Gatekeepers.freePort());
      peerPorts.add(Gatekeepers.freePort());
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
                  + await(roster.listen(i))
                  + " silence 3s\npeer-listen 127.0.0.1:"
                  + peerPorts.get(i)
                  + "\n");
      for (int j = 0; j < count; j++) {
        text.append("peer ").append(j).append(" 127.0.0.1:").append(peerPorts.get(j)).append('\n');
      }
      gatekeepers.settings(i, ports.get(i), text + lines.apply(i));
    }
  }

  /**
   * Adds processes with several gatekeepers of one fleet in each, which share its port, and lines
   * of its own.
   */
  public void processes(int count, int instances, IntFunction<String> lines) throws IOException {
    for (int i = 0; i < count; i++) {
      int port = Gatekeepers.freePort();
      gatekeepers.settings(
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
              + await(roster.listen(i))
              + " silence 3s\n"
              + lines.apply(i));
    }
  }

  /** Waits for something of the stand-ins. */
  public static <T> T await(Future<T> what) throws IOException {
    try {
      return what.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a stand-in failed: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Where the settings and logs of the gatekeepers are. */
  public Path folder() {
    return folder;
  }

  /**
   * Ends a drill: prints the breaches, closes everything, and prints the verdict last. The
   * gatekeepers' settings and logs stay when a rule was broken.
   */
  public boolean conclude(ConformanceResult verdict, PrintStream out) throws IOException {
    verdict.breaches().forEach(b -> out.println("  " + b));
    end(verdict.kept(), out);
    out.println(verdict.line());
    return verdict.kept();
  }

  /**
   * Closes everything, and removes settings and logs when they are not needed, or tells where they
   * are.
   */
  void end(boolean well, PrintStream out) throws IOException {
    close();
    if (well) {
      Folders.remove(folder);
    } else {
      out.println("settings and logs of the gatekeepers: " + folder);
    }
  }

  @Override
  public void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    gatekeepers.close();
    if (counter != null) {
      counter.close();
    }
    await(vertx.close());
  }
}
