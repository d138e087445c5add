package fawndock.cli;

import fawndock.calibration.DayDeployment;
import fawndock.calibration.FigureComparison;
import fawndock.calibration.SocketRun;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.scenario.DayFile;
import fawndock.settings.ConfigurationException;
import fawndock.simulation.Deployment;
import fawndock.simulation.DeploymentFile;
import fawndock.simulation.SimulationResult;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code fawndock emulate FILE}: runs a whole deployment in simulated time and checks the five
 * rules.
 */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description =
        "Runs a deployment in simulated time with the real policy and checks the five rules.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:all rules kept", "1:a rule was broken", "2:errors in the file"})
final class EmulateCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "FILE",
      description = "the deployment file, see docs/operations/emulate.md")
  private Path file;

  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "overrides the value of a let line of the file")
  private Map<String, String> values = Map.of();

  @Option(
      names = "--describe",
      description =
          "FILE is a day file of 'lbsim draw'; prints it as a deployment file and runs nothing")
  private boolean describe;

  @Option(
      names = "--sockets",
      description =
          "also runs the deployment over sockets and prints both results side by side; for small deployments")
  private boolean sockets;

  @Override
  public Integer call() throws Exception {
    if (describe) {
      System.out.print(DayDeployment.of(DayFile.read(file)));
      return 0;
    }
    DeploymentFile.ParsedDeployment parsed;
    try {
      parsed = DeploymentFile.read(file, values);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    Deployment deployment = parsed.deployment();
    long startNanos = System.nanoTime();
    SimulationResult result = parsed.createSimulation(DefaultGatewayPolicy::new).run();
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    System.out.printf(
        "simulated: %d gatekeepers, %d workers, %.0f s, %d events, in %.1f s of this machine%n",
        deployment.gatewayCount(),
        deployment.backendCount(),
        deployment.durationSeconds(),
        result.eventCount(),
        elapsedSeconds);
    result
        .responsesByStatus()
        .forEach(
            (status, count) ->
                System.out.printf(
                    "%-14s %9d%n",
                    status == 0 ? "client left" : status < 0 ? "broke" : "answer " + status,
                    count));
    result.figures().forEach((name, value) -> System.out.printf("%-28s %10.3f%n", name, value));
    if (sockets) {
      return compareWithSockets(parsed, result);
    }
    result.conformance().violations().forEach(violation -> System.out.println("  " + violation));
    System.out.println(result.conformance().summaryLine());
    return result.conformance().isConformant() ? 0 : 1;
  }

  private static int compareWithSockets(
      DeploymentFile.ParsedDeployment parsed, SimulationResult simulated) throws Exception {
    SocketRun socketRun = new SocketRun(parsed, System.out);
    if (!socketRun.unsupportedFeatures().isEmpty()) {
      socketRun.unsupportedFeatures().forEach(System.err::println);
      return 2;
    }
    LogConfigurator.configureForTool();
    SocketRun.SocketRunResult socketResult = socketRun.run();
    System.out.printf("%-28s %10s %10s %9s%n", "", "emulated", "sockets", "differ");
    FigureComparison.compare(simulated.figures(), socketResult.metrics().figures())
        .forEach(
            row ->
                System.out.printf(
                    "%-28s %10.3f %10.3f %8.1f%%%s%n",
                    row.figure(),
                    row.simulated(),
                    row.measured(),
                    100 * row.relativeDifference(),
                    row.isLarge() ? " *" : ""));
    socketResult
        .conformance()
        .violations()
        .forEach(violation -> System.out.println("  " + violation));
    System.out.println("emulated: " + simulated.conformance().summaryLine());
    System.out.println("over sockets: " + socketResult.conformance().summaryLine());
    return simulated.conformance().isConformant() && socketResult.conformance().isConformant()
        ? 0
        : 1;
  }
}
