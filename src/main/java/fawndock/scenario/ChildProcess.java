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
 * A command of this program in a process of its own.
 *
 * @param process the process
 * @param listening completes when it says that it listens, fails when it ends before or takes too
 *     long
 */
record ChildProcess(Process process, CompletableFuture<Void> listening) {
  static final int START_SECONDS = 30;

  /**
   * Starts one.
   *
   * @param log what its standard error is appended to
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
              try (BufferedReader out =
                  new BufferedReader(
                      new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                  if (line.matches("fawndock( counter)? listens .*")) {
                    listening.complete(null);
                  }
                }
              } catch (IOException e) {
                listening.completeExceptionally(e);
              }
              listening.completeExceptionally(
                  new IOException(arguments[0] + " ended at its start; see " + log));
            },
            "reads " + log.getFileName());
    reader.setDaemon(true);
    reader.start();
    return new ChildProcess(process, listening.orTimeout(START_SECONDS, TimeUnit.SECONDS));
  }

  /** Kills it outright (SIGKILL) and waits until it is gone. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(START_SECONDS, TimeUnit.SECONDS);
  }
}
