package fawndock.report;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.experiment.Experiment;
import fawndock.experiment.Experiment.Expectation;
import fawndock.experiment.RunResult;
import fawndock.simulation.DeploymentFile.FaultWindow;
import java.io.ByteArrayInputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReportTest {
  private static RunResult run(int fleetSize, int rate, String mode, long seed, double use) {
    Map<String, String> values =
        new TreeMap<>(Map.of("fleet", "" + fleetSize, "rate", "" + rate, "mode", mode));
    return new RunResult(
        "k",
        values,
        seed,
        "",
        "b1",
        Map.of("use", use, "rules-broken", 0.0, "plan.a", 10.0),
        Map.of("asked", new double[] {1, 5, 3}, "used a", new double[] {1, 4, 3}),
        List.of(new FaultWindow("counter-silent", 1, 2, 0, 1, 1, 1)),
        "rules kept");
  }

  private static List<RunResult> results(double useOffset) {
    List<RunResult> results = new ArrayList<>();
    for (int fleetSize : new int[] {100, 20, 4}) {
      for (int rate : new int[] {1, 2, 3, 4, 5}) {
        for (String mode : List.of("calm", "silent")) {
          if (fleetSize != 20 || rate != 5) {
            results.add(run(fleetSize, rate, mode, 1, fleetSize + useOffset));
            results.add(run(fleetSize, rate, mode, 2, fleetSize + 2 + 2 * useOffset));
          }
        }
      }
    }
    return results;
  }

  @Test
  void byVariable_manyCombinations_splitsIntoPlots() {
    List<PlotSelection.Plot> plots =
        PlotSelection.byVariable("fleet", "use", Map.of("", results(0)));
    assertEquals(2, plots.size(), "ten lines are too many for one plot: one plot for each mode");
    assertEquals("use (mode calm)", plots.get(0).title());
    assertEquals(
        List.of("4", "20", "100"), plots.get(0).xValues(), "sorted as numbers, not as text");
    assertEquals(5, plots.get(0).series().size());
    assertArrayEquals(new double[] {5, 21, 101}, plots.get(0).series().get(0).values());
    assertArrayEquals(
        new double[] {5, Double.NaN, 101},
        plots.get(0).series().get(4).values(),
        "a cell without a run has no point");
    assertEquals(List.of(), PlotSelection.byVariable("speed", "use", Map.of("", results(0))));
    assertTrue(
        PlotSelection.byVariable("fleet", "use", Map.of("before", results(0), "after", results(1)))
            .stream()
            .allMatch(p -> p.series().size() <= PlotSelection.MAX_LINES));
  }

  /** A misspelled figure in the experiment file ended the report with an exception. */
  @Test
  void write_figureThatNoRunHas_makesNoPlotOfIt(@TempDir Path directory) throws Exception {
    assertEquals(List.of(), PlotSelection.byVariable("fleet", "speed", Map.of("", results(0))));
    Experiment experiment =
        new Experiment(
            "Misspelled",
            directory.resolve("x"),
            List.of(),
            List.of(),
            List.of(1L, 2L),
            List.of("speed", "use"),
            List.of(),
            null,
            "fleet");
    String page =
        Files.readString(new HtmlReport(experiment, results(0), List.of(), directory).write());
    assertTrue(page.contains("<td class=n>fleet 4, mode calm, rate 1<td>-<td>5.000"), page);
  }

  @Test
  void write_oneSetOfResults_makesSelfContainedPage(@TempDir Path directory) throws Exception {
    Experiment experiment =
        new Experiment(
            "Fleets <of> all sizes",
            directory.resolve("x"),
            List.of(),
            List.of(),
            List.of(1L, 2L),
            List.of("use"),
            List.of(new Expectation("use", true, 50, Map.of())),
            null,
            "fleet");
    String page =
        Files.readString(new HtmlReport(experiment, results(0), List.of(), directory).write());
    assertTrue(page.contains("Fleets &lt;of&gt; all sizes") && page.contains("Simulated"));
    assertTrue(
        page.contains(
            "<td class=n>use at most 50.0<td class='n bad'>NO<td>102.0<td class=n>fleet 100"),
        page.substring(0, 2000));
    assertTrue(page.contains("<td class=n>fleet 4, mode calm, rate 1<td>5.000 (4.000 – 6.000)"));
    assertFalse(
        Pattern.compile("(src|href)=\"(?!data:)").matcher(page).find(),
        "the page refers to no other file");
    Matcher images = Pattern.compile("data:image/png;base64,([^\"]+)").matcher(page);
    int imageCount = 0;
    while (images.find()) {
      assertEquals(
          PlotRenderer.WIDTH,
          ImageIO.read(new ByteArrayInputStream(Base64.getDecoder().decode(images.group(1))))
              .getWidth());
      imageCount++;
    }
    try (var files = Files.list(directory.resolve("plots"))) {
      assertEquals(imageCount, files.count());
    }
    assertEquals(
        2 + 6 * 2, imageCount, "two plots by fleet, and two time series for each of six cells");
  }

  @Test
  void write_twoSetsOfResults_pairsDifferencesBySeed(@TempDir Path directory) throws Exception {
    Experiment experiment =
        new Experiment(
            "t",
            directory.resolve("x"),
            List.of(),
            List.of(),
            List.of(1L, 2L),
            List.of("use"),
            List.of(),
            null,
            "fleet");
    String page =
        Files.readString(
            new HtmlReport(experiment, results(1), results(0).subList(0, 40), directory).write());
    // The differences are 1 and 2: mean 1.5, t(0.975, 1) = 12.706, standard deviation 0.707.
    assertTrue(page.contains("101.0 → 102.5<br>+1.500 [-4.853, 7.853]"), page.substring(0, 3000));
    assertTrue(page.contains("cells have nothing before") == results(0).size() > 40);
  }
}
