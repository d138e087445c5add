package fawndock.cli;

import fawndock.settings.ConfigurationException;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code fawndock check FILE}: prints every error of a settings file and starts no gateway. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Checks a gateway's settings file and prints every error.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:no errors", "2:errors in the settings"})
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the settings file")
  private Path file;

  @Override
  public Integer call() {
    try {
      GatewaySettings settings = GatewaySettingsFile.read(file);
      System.out.println(
          file
              + ": no mistakes: "
              + settings.classes().size()
              + " classes, "
              + settings.plans().size()
              + " plans, "
              + settings.apiKeys().size()
              + " keys, "
              + settings.routes().size()
              + " routes");
      return 0;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }
}
