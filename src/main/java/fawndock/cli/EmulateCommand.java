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
 * {@code fawndock emulate FILE}: a whole deployment in simulated time, checked against the five
 * rules.
 */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description =
        "Runs a deployment in simulated time with the real policy and checks the five rules.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:rules kept", "1:a rule was broken", "2:errors in the file"})
final class EmulateCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the deployment; docs/operations/emulate.md")
  private Path file;

  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "another value for a let line of the file")
  private Map<String, String> values = Map.of();

  @Option(
      names = "--describe",
      description = "FILE is a day of 'lbsim draw'; tells it as a deployment, and runs nothing")
  private boolean describe;

  @Option(
      names = "--sockets",
      description = "plays it over sockets too, and tells both side by side; for small deployments")
  private boolean sockets;

  @Override
  public Integer call() throws Exception {
    if (describe) {
      System.out.print(DayDeployment.of(DayFile.read(file)));
      return 0;
    }
    DeploymentFile.ParsedDeployment read;
    try {
      read = DeploymentFile.read(file, values);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    Deployment d = read.deployment();
    long begun = System.nanoTime();
    SimulationResult result = read.createSimulation(DefaultGatewayPolicy::new).run();
    double took = (System.nanoTime() - begun) / 1e9;
    System.out.printf(
        "simulated: %d gatekeepers, %d workers, %.0f s, %d events, in %.1f s of this machine%n",
        d.gatewayCount(), d.backendCount(), d.durationSeconds(), result.eventCount(), took);
    result
        .responsesByStatus()
        .forEach(
            (status, many) ->
                System.out.printf(
                    "%-14s %9d%n",
                    status == 0 ? "client left" : status < 0 ? "broke" : "answer " + status, many));
    result.figures().forEach((name, value) -> System.out.printf("%-28s %10.3f%n", name, value));
    if (sockets) {
      return beside(read, result);
    }
    result.conformance().violations().forEach(b -> System.out.println("  " + b));
    System.out.println(result.conformance().summaryLine());
    return result.conformance().isConformant() ? 0 : 1;
  }

  private static int beside(DeploymentFile.ParsedDeployment read, SimulationResult emulated)
      throws Exception {
    SocketRun real = new SocketRun(read, System.out);
    if (!real.unsupportedFeatures().isEmpty()) {
      real.unsupportedFeatures().forEach(System.err::println);
      return 2;
    }
    LogConfigurator.configureForTool();
    SocketRun.SocketRunResult played = real.run();
    System.out.printf("%-28s %10s %10s %9s%n", "", "emulated", "sockets", "differ");
    FigureComparison.compare(emulated.figures(), played.metrics().figures())
        .forEach(
            row ->
                System.out.printf(
                    "%-28s %10.3f %10.3f %8.1f%%%s%n",
                    row.figure(),
                    row.simulated(),
                    row.measured(),
                    100 * row.relativeDifference(),
                    row.isLarge() ? " *" : ""));
    played.conformance().violations().forEach(b -> System.out.println("  " + b));
    System.out.println("emulated: " + emulated.conformance().summaryLine());
    System.out.println("over sockets: " + played.conformance().summaryLine());
    return emulated.conformance().isConformant() && played.conformance().isConformant() ? 0 : 1;
  }
}
