package fawndock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process. */
class MainTest {
  @TempDir Path folder;

  private static Process start(List<String> jvm, String... args) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(jvm);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "fawndock.Main"));
    command.addAll(List.of(args));
    return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.PIPE).start();
  }

  private static String errors(Process process) throws Exception {
    return new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @Test
  void anUnknownCommandIsNamedAndEndsWithTwo() throws Exception {
    Process process = start(List.of(), "nonsense");
    assertTrue(errors(process).contains("'nonsense'"));
    assertEquals(2, process.waitFor());
  }

  @Test
  void benchlinkLoadsNothingOfTheDaemon() throws Exception {
    Process process = start(List.of("-verbose:class"), "benchlink");
    process.getOutputStream().close();
    String loaded = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, process.waitFor());
    assertTrue(
        loaded.contains("fawndock.simulatoradapter.SimulatorAdapter"), "it tells what it loads");
    assertEquals(
        List.of(),
        loaded
            .lines()
            .filter(
                l ->
                    l.matches(
                        ".*\\b(io\\.vertx|io\\.netty|picocli|org\\.slf4j|ch\\.qos|fawndock\\.(cli|gateway|settings))\\..*"))
            .toList());
  }

  @Test
  void settingsWithMistakesStartNothing() throws Exception {
    Path file = Files.writeString(folder.resolve("bad.conf"), "lisden 127.0.0.1:0\n");
    Process process = start(List.of(), "run", "-c", file.toString());
    assertTrue(errors(process).contains("bad.conf:1: unknown keyword 'lisden'"));
    assertEquals(2, process.waitFor());
  }

  @Test
  void aPortThatIsTakenEndsWithOne() throws Exception {
    try (java.net.ServerSocket taken =
        new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      Process process = start(List.of(), "run", "-c", settings(taken.getLocalPort()).toString());
      assertTrue(errors(process).contains("cannot start"));
      assertEquals(1, process.waitFor());
    }
  }

  private Path settings(int port) throws Exception {
    return Files.writeString(
        folder.resolve("run.conf"),
        "listen 127.0.0.1:"
            + port
            + "\nclass c aim 1s deadline 2s\nroute * / c\nplan p\nkey k customer one plan p\nserver w 127.0.0.1:1\n");
  }

  /** It listens, refuses what no server can take, and ends on SIGTERM. */
  @Test
  void runsUntilItIsTerminated() throws Exception {
    Process process = start(List.of(), "run", "-c", settings(0).toString());
    try {
      String line =
          new BufferedReader(
                  new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
              .readLine();
      int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
      HttpResponse<String> answer =
          HttpClient.newHttpClient()
              .send(
                  HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/x"))
                      .header("x-api-key", "k")
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      assertEquals(429, answer.statusCode(), "the only server is not there: refused, never run");
      process.destroy();
      assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      assertEquals(143, process.exitValue());
      org.junit.jupiter.api.Assertions.assertThrows(
          java.io.IOException.class, () -> new Socket("127.0.0.1", port).close());
    } finally {
      process.destroyForcibly();
    }
  }
}
