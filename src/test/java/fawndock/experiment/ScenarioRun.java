package fawndock.experiment;

import fawndock.policy.DefaultGatewayPolicy;
import fawndock.settings.ConfigurationException;
import java.nio.file.Path;
import java.util.List;

/** Simulates a scenario. Public, as objects of it are created in class loaders of their own. */
public final class ScenarioRun implements Runnable {
  private final Experiment experiment;

  public ScenarioRun(Path scenario) {
    experiment =
        new Experiment(
            "", scenario, List.of(), List.of(), List.of(1L), List.of(), List.of(), null, "");
  }

  @Override
  public void run() {
    try {
      PlannedRun.planAll(experiment, "").get(0).execute(DefaultGatewayPolicy::new);
    } catch (ConfigurationException e) {
      throw new IllegalStateException(e);
    }
  }
}
