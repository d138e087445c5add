package fawndock.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * The counter service in a separate process, which can be killed and started again on the same
 * directory. A shutdown hook kills the process when this one exits. The methods that start, stop or
 * inspect the process are thread-safe.
 */
public final class CounterProcess implements AutoCloseable {
  private final Path directory;
  private final int port;
  private final List<String> jvmOptions;
  private final Thread shutdownHook = new Thread(this::destroy, "end counter");
  private ChildProcess child;

  /**
   * Creates a counter on a free port, without starting it.
   *
   * @param extraSettings settings lines besides the listen address and the directory
   */
  public CounterProcess(Path directory, String extraSettings, String... jvmOptions)
      throws IOException {
    this(directory, GatewayProcesses.freePort(), extraSettings, jvmOptions);
  }

  /**
   * Creates a counter on the given port, without starting it.
   *
   * @param extraSettings settings lines besides the listen address and the directory
   */
  public CounterProcess(Path directory, int port, String extraSettings, String... jvmOptions)
      throws IOException {
    this.directory = directory;
    this.jvmOptions = new ArrayList<>(List.of(jvmOptions));
    this.port = port;
    Files.writeString(
        directory.resolve("counter.conf"),
        "listen 127.0.0.1:" + port + "\ndirectory counter\n" + extraSettings);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /** Adds an option of the virtual machine, which takes effect at the next start. */
  void addJvmOption(String option) {
    jvmOptions.add(option);
  }

  public int port() {
    return port;
  }

  /**
   * Starts the process without waiting until it listens; if it never listens, the checks of the
   * scenario fail.
   */
  public void restart() throws IOException {
    var unused = start();
  }

  /** Starts the process; the result completes when it is listening. */
  public synchronized CompletableFuture<Void> start() throws IOException {
    child =
        ChildProcess.start(
            jvmOptions,
            directory.resolve("counter.log"),
            "counter",
            "-c",
            directory.resolve("counter.conf").toString());
    return child.listening();
  }

  /** Kills the process (SIGKILL) and waits until it has exited. */
  public synchronized void kill() throws InterruptedException {
    if (child != null) {
      child.kill();
    }
  }

  /** Terminates the process (SIGTERM) and waits until it has exited. */
  public synchronized void stop() throws InterruptedException {
    child.process().destroy();
    child.process().waitFor(ChildProcess.START_SECONDS, java.util.concurrent.TimeUnit.SECONDS);
  }

  /** Returns the CPU seconds that the process has used, or NaN if they are not known. */
  public synchronized double cpuSeconds() {
    return child
        .process()
        .toHandle()
        .info()
        .totalCpuDuration()
        .map(duration -> duration.toNanos() / 1e9)
        .orElse(Double.NaN);
  }

  /** Deletes the log and the snapshots; the process must not be running. */
  public void deleteState() throws IOException {
    try (Stream<Path> files = Files.list(directory.resolve("counter"))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private synchronized void destroy() {
    if (child != null) {
      child.process().destroyForcibly();
    }
  }

  @Override
  public void close() {
    try {
      kill(); // Waits, since the process must not write into a directory that is being deleted.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // The virtual machine is shutting down already.
    }
  }
}
