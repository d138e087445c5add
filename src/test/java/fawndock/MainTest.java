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

/** Runs the program in a process of its own. */
class MainTest {
  @TempDir Path directory;

  private static Process start(List<String> jvmArguments, String... args) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(jvmArguments);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "fawndock.Main"));
    command.addAll(List.of(args));
    return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.PIPE).start();
  }

  private static String readErrors(Process process) throws Exception {
    return new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @Test
  void unknownCommand_isNamedAndExitsWithTwo() throws Exception {
    Process process = start(List.of(), "nonsense");
    assertTrue(readErrors(process).contains("'nonsense'"));
    assertEquals(2, process.waitFor());
  }

  @Test
  void benchlink_loadsNoServerClasses() throws Exception {
    Process process = start(List.of("-verbose:class"), "benchlink");
    process.getOutputStream().close();
    String classLog = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, process.waitFor());
    assertTrue(
        classLog.contains("fawndock.simulatoradapter.SimulatorAdapter"),
        "the output lists the loaded classes");
    assertEquals(
        List.of(),
        classLog
            .lines()
            .filter(
                line ->
                    line.matches(
                        ".*\\b(io\\.vertx|io\\.netty|picocli|org\\.slf4j|ch\\.qos|fawndock\\.(cli|gateway|settings))\\..*"))
            .toList());
  }

  @Test
  void invalidSettings_areReportedAndExitWithTwo() throws Exception {
    Path file = Files.writeString(directory.resolve("bad.conf"), "lisden 127.0.0.1:0\n");
    Process process = start(List.of(), "run", "-c", file.toString());
    assertTrue(readErrors(process).contains("bad.conf:1: unknown keyword 'lisden'"));
    assertEquals(2, process.waitFor());
  }

  @Test
  void portInUse_isReportedAndExitsWithOne() throws Exception {
    try (java.net.ServerSocket occupied =
        new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      Process process =
          start(List.of(), "run", "-c", writeSettings(occupied.getLocalPort()).toString());
      assertTrue(readErrors(process).contains("cannot start"));
      assertEquals(1, process.waitFor());
    }
  }

  private Path writeSettings(int port) throws Exception {
    return Files.writeString(
        directory.resolve("run.conf"),
        "listen 127.0.0.1:"
            + port
            + "\nclass c aim 1s deadline 2s\nroute * / c\nplan p\nkey k customer one plan p\nserver w 127.0.0.1:1\n");
  }

  /** The gateway listens, answers 429 when its only backend is unreachable, and ends on SIGTERM. */
  @Test
  void run_servesUntilSigterm() throws Exception {
    Process process = start(List.of(), "run", "-c", writeSettings(0).toString());
    try {
      String line =
          new BufferedReader(
                  new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
              .readLine();
      int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
      HttpResponse<String> response =
          HttpClient.newHttpClient()
              .send(
                  HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/x"))
                      .header("x-api-key", "k")
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      assertEquals(
          429,
          response.statusCode(),
          "the only backend is unreachable, so the request is refused and never run");
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
