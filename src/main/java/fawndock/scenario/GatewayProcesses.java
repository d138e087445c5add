package fawndock.scenario;

import fawndock.conformance.TraceEvent;
import fawndock.fake.TraceRecorder;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Gateways in processes of their own, each with a settings file in one folder. Ends its own
 * processes only.
 */
public final class GatewayProcesses implements AutoCloseable {
  private static final int MAX_PORT_ATTEMPTS = 1_000;
  private final Path directory;
  private final TraceRecorder recorder;
  private final List<String> jvmOptions;
  private final Map<Integer, Process> processes = new TreeMap<>();
  private final Map<Integer, Integer> ports = new TreeMap<>();
  private final Thread shutdownHook = new Thread(this::destroyAll, "end gatekeepers");

  /**
   * No gateways yet.
   *
   * @param jvmOptions of each process
   */
  public GatewayProcesses(Path folder, TraceRecorder recorder, String... jvmOptions) {
    this.directory = folder;
    this.recorder = recorder;
    this.jvmOptions = List.of(jvmOptions);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /**
   * A loopback port that is free now, from below the range that systems take for outgoing
   * connections: one from that range was seen taken by a client's connection before its gateway
   * came to listen.
   */
  public static int freePort() throws IOException {
    for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
      int port = 15_000 + ThreadLocalRandom.current().nextInt(16_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Taken: another.
      }
    }
    throw new IOException("no free port found in " + MAX_PORT_ATTEMPTS + " tries");
  }

  /** Keeps the settings of a gateway and the port on which they say that it listens. */
  public void writeSettings(int number, int port, String text) throws IOException {
    ports.put(number, port);
    Files.writeString(directory.resolve("gatekeeper-" + number + ".conf"), text);
  }

  public int port(int number) {
    return ports.get(number);
  }

  public List<Integer> indexes() {
    return new ArrayList<>(ports.keySet());
  }

  /** Starts it again without waiting; a process that does not listen shows in the scenario. */
  public void restart(int number) throws IOException {
    var unused = start(number);
  }

  /** Starts one; completes when it says that it listens. */
  public CompletableFuture<Void> start(int number) throws IOException {
    ChildProcess child =
        ChildProcess.start(
            jvmOptions,
            directory.resolve("gatekeeper-" + number + ".log"),
            "run",
            "-c",
            directory.resolve("gatekeeper-" + number + ".conf").toString());
    synchronized (processes) {
      processes.put(number, child.process());
    }
    return child.listening();
  }

  /** Starts all that have settings and waits for them. */
  public void startAll() throws IOException {
    List<CompletableFuture<Void>> starting = new ArrayList<>();
    for (int number : indexes()) {
      starting.add(start(number));
    }
    try {
      CompletableFuture.allOf(starting.toArray(CompletableFuture[]::new))
          .get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(
          e.getCause() == null ? "gatekeepers did not start" : e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Kills one outright (SIGKILL). */
  public void kill(int number) {
    synchronized (processes) {
      Process process = processes.remove(number);
      if (process != null) {
        recorder.record(new TraceEvent.GatewayKilled(TraceRecorder.nowMicros(), number));
        process.destroyForcibly();
      }
    }
  }

  /**
   * Asks one to end (SIGTERM); returns its exit code, or -1 when it took longer than so many
   * seconds.
   */
  public int terminate(int number, int seconds) throws InterruptedException {
    Process process;
    synchronized (processes) {
      process = processes.remove(number);
    }
    process.destroy();
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  private void destroyAll() {
    synchronized (processes) {
      processes.values().forEach(Process::destroyForcibly);
      processes.clear();
    }
  }

  @Override
  public void close() {
    destroyAll();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // Ending already.
    }
  }
}
