package fawndock.platform;

import fawndock.fake.FakePlatform;
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
}
