package fawndock.platform;

import fawndock.fake.FakePlatform;
import fawndock.fake.RespClient;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts gateways in separate processes, for tests of signals and of the process's memory. */
final class GatewayProcess {
  private GatewayProcess() {}

  /**
   * Starts a gateway among the fakes of a platform; its output is discarded.
   *
   * @param launcher command and arguments that run the command after them; empty for none
   */
  static Process start(FakePlatform platform, List<String> launcher, String... jvmOptions)
      throws IOException {
    List<String> command = new ArrayList<>(launcher);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-XX:TieredStopAtLevel=1");
    command.addAll(List.of(jvmOptions));
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "fawndock.Main", "platform"));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD);
    builder.environment().putAll(platform.environment());
    return builder.start();
  }

  /** Starts a gateway that ends when its heap is full, with the other limits of a deployment. */
  static Process startWithHeap(FakePlatform platform, int heapMegabytes) throws IOException {
    return start(
        platform,
        List.of(),
        "-XX:+UseSerialGC",
        "-Xmx" + heapMegabytes + "m",
        "-XX:MaxDirectMemorySize=8m",
        "-XX:+ExitOnOutOfMemoryError");
  }

  /** Waits until the platform's gateway replies to clients. */
  static void awaitListening(FakePlatform platform) throws Exception {
    Await.until(() -> isListening(platform));
  }

  private static boolean isListening(FakePlatform platform) {
    try (RespClient client = new RespClient(platform.port())) {
      return "+PONG".equals(client.call("PING"));
    } catch (IOException e) {
      return false; // The gateway does not listen yet.
    }
  }
}
