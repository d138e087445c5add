package fawndock.calibration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.scenario.DayFile;
import fawndock.simulation.DeploymentFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CalibrationTest {
  @TempDir private Path directory;

  @Test
  void compare_largeDifference_isMarked() {
    Map<String, Double> simulated = new LinkedHashMap<>(Map.of("a", 1.0));
    simulated.put("b", 0.01);
    simulated.put("c", 2.0);
    simulated.put("d", 1.0);
    List<FigureComparison.Row> rows =
        FigureComparison.compare(simulated, Map.of("a", 1.05, "b", 0.0, "c", 1.7));
    assertEquals(
        List.of(false, false, true), rows.stream().map(FigureComparison.Row::isLarge).toList());
    assertEquals(0.15, rows.get(2).relativeDifference(), 1e-9);
  }

  /**
   * The deployment file of a day can be parsed and has the day's sizes. A fault that the simulation
   * does not model becomes a comment.
   */
  @Test
  void of_dayFile_givesReadableDeploymentFile() throws Exception {
    DayFile day =
        DayFile.read(
            Files.writeString(
                directory.resolve("day.json"),
                """
                {"site":"s","length":4000000,"traffic":{"load":0.4},"servers":[{},{},{},{}],"balancers":[{},{}],
                "tiers":[{"kinds":[{"cores":3,"queue":9,"cold_from":0.3,"cold":5000000}]}],
                "classes":[{"name":"c","share":1,"work":1000,"aim":2000,"deadline":3000,"effect":"keyed","window":7}],
                "tenants":[{"name":"t","share":1}],"fam":{"plans":[{"rate":2,"burst":4,"price":0.5,"customers":10,"spread":[0.5]}],
                "calm":0.2,"heavy":0.2,"full":0.3,"counter":{"parts":2,"per_s":640,"timeout":30000,"queue":9000}},
                "troubles":[{"kind":"slow","at":1000000,"len":2000000,"size":3,"on":[1,2],"steps":[]},
                {"kind":"sunspots","at":1000000,"len":2000000,"size":3,"on":[],"steps":[]}]}
                """));
    Path deploymentFile = Files.writeString(directory.resolve("d.emu"), DayDeployment.of(day));
    DeploymentFile.ParsedDeployment parsed = DeploymentFile.read(deploymentFile);
    assertEquals(4, parsed.deployment().backendCount());
    assertEquals(2, parsed.deployment().counter().partitionCount());
    assertEquals(9_000, parsed.deployment().counter().maxQueueMicros());
    assertEquals(
        List.of(2, 3, 5),
        parsed.deployment().demands().stream().map(demand -> demand.customerCount()).toList());
    assertEquals(2 * 3 * 2, parsed.deployment().demands().get(0).requestsPerSecond(), 1e-6);
    assertEquals(
        new DeploymentFile.FaultWindow("worker-slow", 1, 3, 0, 2, 3, 0.5),
        parsed.faultWindows().get(0));
    assertTrue(Files.readString(deploymentFile).contains("# trouble sunspots"));
    assertEquals(
        List.of("over sockets each customer comes through all gatekeepers"),
        new SocketRun(parsed, System.out).unsupportedFeatures());
  }
}
