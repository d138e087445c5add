package fawndock.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A command of this program that runs in a separate process.
 *
 * @param listening completes when the process prints that it is listening; fails when the process
 *     exits before that or takes longer than {@link #START_SECONDS}
 */
record ChildProcess(Process process, CompletableFuture<Void> listening) {
  static final int START_SECONDS = 30;

  /**
   * Starts a process.
   *
   * @param log file to which the standard error of the process is appended
   * @param arguments command line of the program, with the command first
   */
  static ChildProcess start(List<String> jvmOptions, Path log, String... arguments)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "fawndock.Main"));
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    CompletableFuture<Void> listening = new CompletableFuture<>();
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader output =
                  new BufferedReader(
                      new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                  if (line.matches("fawndock( counter)? listens .*")) {
                    listening.complete(null);
                  }
                }
              } catch (IOException e) {
                listening.completeExceptionally(e);
              }
              listening.completeExceptionally(
                  new IOException(
                      arguments[0]
                          + " ended during its start, before it was listening; see "
                          + log));
            },
            "reads " + log.getFileName());
    reader.setDaemon(true);
    reader.start();
    return new ChildProcess(process, listening.orTimeout(START_SECONDS, TimeUnit.SECONDS));
  }

  /** Kills the process (SIGKILL) and waits until it has exited. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(START_SECONDS, TimeUnit.SECONDS);
  }
}
