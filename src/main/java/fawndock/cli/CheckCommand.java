package fawndock.cli;

import fawndock.settings.ConfigurationException;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code fawndock check FILE}: tells every mistake in a settings file and starts nothing. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Tells every mistake in a settings file.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:no mistakes", "2:mistakes"})
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the settings")
  private Path file;

  @Override
  public Integer call() {
    try {
      GatewaySettings s = GatewaySettingsFile.read(file);
      System.out.println(
          file
              + ": no mistakes: "
              + s.classes().size()
              + " classes, "
              + s.plans().size()
              + " plans, "
              + s.apiKeys().size()
              + " keys, "
              + s.routes().size()
              + " routes");
      return 0;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }
}
