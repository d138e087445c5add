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
 * Gateways in separate processes, each with a settings file in a common directory. Processes may be
 * started and ended from any thread; those still running are killed on {@link #close} and when this
 * process exits. No process that it did not start is ended.
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
   * Creates the fixture without gateways.
   *
   * @param jvmOptions options of the virtual machine of each process
   */
  public GatewayProcesses(Path directory, TraceRecorder recorder, String... jvmOptions) {
    this.directory = directory;
    this.recorder = recorder;
    this.jvmOptions = List.of(jvmOptions);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /**
   * Returns a loopback port that is free now. The port is below the ephemeral range: a port of that
   * range was taken by a client's outgoing connection before the gateway could listen on it.
   */
  public static int freePort() throws IOException {
    for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
      int port = 15_000 + ThreadLocalRandom.current().nextInt(16_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use; try another.
      }
    }
    throw new IOException("no free port found in " + MAX_PORT_ATTEMPTS + " tries");
  }

  /** Writes the settings file of a gateway and records the port that the settings name. */
  public void writeSettings(int index, int port, String text) throws IOException {
    ports.put(index, port);
    Files.writeString(directory.resolve("gatekeeper-" + index + ".conf"), text);
  }

  public int port(int index) {
    return ports.get(index);
  }

  public List<Integer> indexes() {
    return new ArrayList<>(ports.keySet());
  }

  /**
   * Starts a gateway without waiting until it listens; if it never listens, the checks of the
   * scenario fail.
   */
  public void restart(int index) throws IOException {
    var unused = start(index);
  }

  /** Starts a gateway; the result completes when it is listening. */
  public CompletableFuture<Void> start(int index) throws IOException {
    ChildProcess child =
        ChildProcess.start(
            jvmOptions,
            directory.resolve("gatekeeper-" + index + ".log"),
            "run",
            "-c",
            directory.resolve("gatekeeper-" + index + ".conf").toString());
    synchronized (processes) {
      processes.put(index, child.process());
    }
    return child.listening();
  }

  /** Starts all gateways that have settings and waits until they listen. */
  public void startAll() throws IOException {
    List<CompletableFuture<Void>> starts = new ArrayList<>();
    for (int index : indexes()) {
      starts.add(start(index));
    }
    try {
      CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new))
          .get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(
          e.getCause() == null ? "gatekeepers did not start" : e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Kills a gateway (SIGKILL) and records that in the trace; does nothing if it is not running. */
  public void kill(int index) {
    synchronized (processes) {
      Process process = processes.remove(index);
      if (process != null) {
        recorder.record(new TraceEvent.GatewayKilled(TraceRecorder.nowMicros(), index));
        process.destroyForcibly();
      }
    }
  }

  /**
   * Terminates a gateway (SIGTERM); returns its exit code, or -1 if it did not exit within {@code
   * timeoutSeconds}.
   */
  public int terminate(int index, int timeoutSeconds) throws InterruptedException {
    Process process;
    synchronized (processes) {
      process = processes.remove(index);
    }
    process.destroy();
    return process.waitFor(timeoutSeconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
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
      // The virtual machine is shutting down already.
    }
  }
}
