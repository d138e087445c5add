package fawndock.report;

import fawndock.experiment.AtomicFileWriter;
import fawndock.experiment.Experiment;
import fawndock.experiment.ResultTable;
import fawndock.experiment.RunResult;
import fawndock.report.PlotSelection.Plot;
import fawndock.simulation.DeploymentFile.FaultWindow;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Writes the report of an experiment: one HTML page with embedded plots, and each plot as a PNG
 * file in a folder beside it. Single-threaded; an object writes one report.
 */
public final class HtmlReport {
  private static final int MAX_PLOTS = 60;
  private static final int MAX_RUNS_WITH_PLOTS = 6;
  private static final int MAX_ROWS = 400;
  private final StringBuilder html = new StringBuilder();
  private final Experiment experiment;
  private final List<RunResult> results;
  private final List<RunResult> baselineResults;
  private final Path folder;
  private int plotCount;
  private int omittedPlotCount;

  /**
   * @param baselineResults results to compare with; empty for a report without a comparison
   * @param folder where the page and the plots are written
   */
  public HtmlReport(
      Experiment experiment,
      List<RunResult> results,
      List<RunResult> baselineResults,
      Path folder) {
    this.experiment = experiment;
    this.results = results;
    this.baselineResults = baselineResults;
    this.folder = folder;
  }

  /** Writes the page and all plots; returns the path of the page. */
  public Path write() throws IOException {
    Files.createDirectories(folder.resolve("plots"));
    html.append("<!doctype html><html lang=en><meta charset=utf-8><title>")
        .append(escapeHtml(experiment.title()))
        .append(
            "</title><style>body{font:15px/1.45 sans-serif;max-width:1200px;margin:24px auto;padding:0 16px;color:#222}"
                + "table{border-collapse:collapse;margin:12px 0;font-size:13px}td,th{padding:3px 10px;border-bottom:1px solid #ddd;"
                + "text-align:right}td.n,th.n{text-align:left}th{background:#f4f4f4}.bad{color:#a32020;font-weight:bold}"
                + ".good{color:#1d6b3f}img{display:block;margin:14px 0;max-width:100%}h2{margin-top:34px}</style>");
    html.append("<h1>")
        .append(escapeHtml(experiment.title()))
        .append("</h1><p>Simulated, by <code>fawndock experiment</code>: ")
        .append(results.size())
        .append(" runs, seeds ")
        .append(results.stream().map(RunResult::seed).distinct().count())
        .append(", build ")
        .append(joinBuilds(results))
        .append(
            baselineResults.isEmpty()
                ? ""
                : "; before: "
                    + baselineResults.size()
                    + " runs, build "
                    + joinBuilds(baselineResults))
        .append(".</p>");
    appendExpectations();
    if (baselineResults.isEmpty()) {
      appendCells();
    } else {
      appendDifferences();
    }
    html.append("<h2>Along ")
        .append(escapeHtml(experiment.axis()))
        .append("</h2><p>Medians over the seeds.</p>");
    Map<String, List<RunResult>> resultsByName = new LinkedHashMap<>();
    if (!baselineResults.isEmpty()) {
      resultsByName.put("before", baselineResults);
    }
    resultsByName.put(baselineResults.isEmpty() ? "" : "after", results);
    for (String figure : experiment.shownFigures()) {
      for (Plot plot : PlotSelection.byVariable(experiment.axis(), figure, resultsByName)) {
        appendPlot(plot, List.of());
      }
    }
    appendRunPlots();
    if (omittedPlotCount > 0) {
      html.append("<p>")
          .append(omittedPlotCount)
          .append(" plots more were left out; an experiment that varies less has them all.</p>");
    }
    return AtomicFileWriter.write(folder.resolve("report.html"), html);
  }

  private static String joinBuilds(List<RunResult> results) {
    return results.stream().map(RunResult::build).distinct().collect(Collectors.joining(", "));
  }

  private static String escapeHtml(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static String formatNumber(double value) {
    return Double.isInfinite(value)
        ? "-"
        : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.3f", value);
  }

  private void appendExpectations() {
    List<ResultTable.ExpectationResult> evaluated =
        ResultTable.evaluate(experiment.expectations(), results);
    int violatingRunCount = ResultTable.violatingRuns(results).size();
    html.append(
        "<h2>Expected</h2><table><tr><th class=n>what<th class=n>holds<th>worst<th class=n>with<th>runs<th>break it");
    for (ResultTable.ExpectationResult evaluation : evaluated) {
      appendExpectationRow(
          evaluation.expectation().text(),
          evaluation.isSatisfied(),
          formatNumber(evaluation.worstValue()),
          evaluation.worstCell().isEmpty()
              ? ""
              : PlotSelection.label(evaluation.worstCell(), evaluation.worstCell().keySet())
                  + ", seed "
                  + evaluation.worstSeed(),
          evaluation.runCount(),
          evaluation.violationCount());
    }
    appendExpectationRow(
        "the five rules", violatingRunCount == 0, "", "", results.size(), violatingRunCount);
    html.append("</table>");
  }

  private void appendExpectationRow(
      String description,
      boolean isSatisfied,
      String worstValue,
      String worstRun,
      int runCount,
      int violationCount) {
    html.append("<tr><td class=n>")
        .append(escapeHtml(description))
        .append(isSatisfied ? "<td class='n good'>yes" : "<td class='n bad'>NO")
        .append("<td>")
        .append(worstValue)
        .append("<td class=n>")
        .append(escapeHtml(worstRun))
        .append("<td>")
        .append(runCount)
        .append("<td>")
        .append(violationCount);
  }

  private void appendCells() {
    Map<String, Set<String>> varyingVariables = PlotSelection.varyingVariables(results);
    html.append(
        "<h2>All cells</h2><p>Median over the seeds, least and most in brackets.</p><table><tr><th class=n>cell");
    experiment.shownFigures().forEach(figure -> html.append("<th>").append(escapeHtml(figure)));
    int rows = 0;
    for (Map.Entry<Map<String, String>, List<RunResult>> cell :
        ResultTable.groupByValues(results).entrySet()) {
      if (rows++ >= MAX_ROWS) {
        html.append("<tr><td class=n>more are in results.csv");
        break;
      }
      html.append("<tr><td class=n>")
          .append(escapeHtml(PlotSelection.label(cell.getKey(), varyingVariables.keySet())));
      for (String figure : experiment.shownFigures()) {
        ResultTable.SeedSpread spread = ResultTable.seedSpread(cell.getValue(), figure);
        html.append("<td>")
            .append(
                spread == null
                    ? "-"
                    : formatNumber(spread.median())
                        + " ("
                        + formatNumber(spread.min())
                        + " – "
                        + formatNumber(spread.max())
                        + ")");
      }
    }
    html.append("</table>");
  }

  private void appendDifferences() {
    Map<String, Set<String>> varyingVariables = PlotSelection.varyingVariables(results);
    Map<Map<String, String>, List<RunResult>> baselineCells =
        ResultTable.groupByValues(baselineResults);
    html.append(
        "<h2>Before and after</h2><p>Mean of the differences, seed by seed, and its 95% interval; bold where that leaves out "
            + "0.</p><table><tr><th class=n>cell");
    experiment.shownFigures().forEach(figure -> html.append("<th>").append(escapeHtml(figure)));
    int rows = 0;
    for (Map.Entry<Map<String, String>, List<RunResult>> cell :
        ResultTable.groupByValues(results).entrySet()) {
      if (!baselineCells.containsKey(cell.getKey()) || rows++ >= MAX_ROWS) {
        continue;
      }
      html.append("<tr><td class=n>")
          .append(escapeHtml(PlotSelection.label(cell.getKey(), varyingVariables.keySet())));
      for (String figure : experiment.shownFigures()) {
        ResultTable.Difference difference =
            ResultTable.difference(baselineCells.get(cell.getKey()), cell.getValue(), figure);
        ResultTable.SeedSpread baselineSpread =
            ResultTable.seedSpread(baselineCells.get(cell.getKey()), figure);
        ResultTable.SeedSpread spread = ResultTable.seedSpread(cell.getValue(), figure);
        html.append("<td>")
            .append(
                difference == null
                    ? "-"
                    : formatNumber(baselineSpread.median())
                        + " → "
                        + formatNumber(spread.median())
                        + "<br>"
                        + (difference.isSignificant() ? "<b>" : "")
                        + String.format(Locale.ROOT, "%+.3f", difference.mean())
                        + (difference.isSignificant() ? "</b>" : "")
                        + " ["
                        + formatNumber(difference.low())
                        + ", "
                        + formatNumber(difference.high())
                        + "]");
      }
    }
    html.append("</table>");
    int cellsWithoutBaseline =
        (int)
            ResultTable.groupByValues(results).keySet().stream()
                .filter(values -> !baselineCells.containsKey(values))
                .count();
    html.append(
        cellsWithoutBaseline == 0
            ? ""
            : "<p>" + cellsWithoutBaseline + " cells have nothing before to be held against.</p>");
  }

  /**
   * Appends the plots of the first run of some cells, which are chosen at even distances among all
   * cells.
   */
  private void appendRunPlots() throws IOException {
    List<List<RunResult>> cells = List.copyOf(ResultTable.groupByValues(results).values());
    Set<String> varyingVariables = PlotSelection.varyingVariables(results).keySet();
    int shownCellCount = Math.min(MAX_RUNS_WITH_PLOTS, cells.size());
    html.append("<h2>How single runs went</h2>")
        .append(
            cells.size() > shownCellCount
                ? "<p>" + shownCellCount + " of " + cells.size() + " cells.</p>"
                : "");
    for (int i = 0; i < shownCellCount; i++) {
      RunResult run =
          cells.get(shownCellCount == 1 ? 0 : i * (cells.size() - 1) / (shownCellCount - 1)).get(0);
      String runLabel =
          PlotSelection.label(run.values(), varyingVariables) + ", seed " + run.seed();
      html.append("<h3>")
          .append(escapeHtml(runLabel))
          .append("</h3><p>")
          .append(escapeHtml(run.verdict()))
          .append("</p>");
      appendPlot(
          PlotSelection.timeSeries(
              run,
              "Answers",
              "requests a second",
              List.of(
                  "asked",
                  "good",
                  "served",
                  "refused beyond plan",
                  "refused within plan",
                  "failed",
                  "left")),
          run.marks());
      appendPlot(
          PlotSelection.timeSeries(
              run, "Latency of what was served", "ms", List.of("p50 ms", "p99 ms")),
          run.marks());
      appendPlot(PlotSelection.quotaUsage(run), run.marks());
      appendPlot(
          PlotSelection.timeSeries(
              run,
              "Attempts at workers and calls to the counter",
              "a second",
              List.of("attempts", "repeated attempts", "tries asked", "counter calls")),
          run.marks());
      appendPlot(
          PlotSelection.timeSeries(
              run, "Longest wait in the counter's queue", "ms", List.of("counter queue ms")),
          run.marks());
    }
  }

  private void appendPlot(Plot plot, List<FaultWindow> faultWindows) throws IOException {
    if (plot.series().isEmpty() || plot.xValues().isEmpty()) {
      return;
    }
    if (plotCount >= MAX_PLOTS) {
      omittedPlotCount++;
      return;
    }
    byte[] png = PlotRenderer.renderPng(plot, faultWindows);
    Files.write(
        folder
            .resolve("plots")
            .resolve(
                String.format(
                    Locale.ROOT,
                    "%02d-%s.png",
                    ++plotCount,
                    plot.title().replaceAll("[^A-Za-z0-9]+", "-").toLowerCase(Locale.ROOT))),
        png);
    html.append("<img width=")
        .append(PlotRenderer.WIDTH)
        .append(" alt=\"")
        .append(escapeHtml(plot.title()).replace("\"", "&quot;"))
        .append("\" src=\"data:image/png;base64,")
        .append(Base64.getEncoder().encodeToString(png))
        .append("\">");
  }
}
