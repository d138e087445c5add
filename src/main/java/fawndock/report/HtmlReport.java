package fawndock.report;

import fawndock.experiment.Experiment;
import fawndock.experiment.ResultStatistics;
import fawndock.experiment.RunResult;
import fawndock.report.PlotSelection.Plot;
import fawndock.simulation.DeploymentFile.FaultWindow;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Writes a report: one HTML page with its plots inside, and each plot as a PNG file beside it. */
public final class HtmlReport {
  private static final int MOST_PLOTS = 60;
  private static final int MOST_COURSES = 6;
  private static final int MOST_ROWS = 400;
  private final StringBuilder html = new StringBuilder();
  private final Experiment experiment;
  private final List<RunResult> after;
  private final List<RunResult> before;
  private final Path folder;
  private int plots;
  private int left;

  /**
   * @param before results that the others are held against, or none
   * @param folder where page and plots go
   */
  public HtmlReport(
      Experiment experiment, List<RunResult> after, List<RunResult> before, Path folder) {
    this.experiment = experiment;
    this.after = after;
    this.before = before;
    this.folder = folder;
  }

  /** Writes it all; returns the page. */
  public Path write() throws IOException {
    Files.createDirectories(folder.resolve("plots"));
    html.append("<!doctype html><html lang=en><meta charset=utf-8><title>")
        .append(safe(experiment.title()))
        .append(
            "</title><style>body{font:15px/1.45 sans-serif;max-width:1200px;margin:24px auto;padding:0 16px;color:#222}"
                + "table{border-collapse:collapse;margin:12px 0;font-size:13px}td,th{padding:3px 10px;border-bottom:1px solid #ddd;"
                + "text-align:right}td.n,th.n{text-align:left}th{background:#f4f4f4}.bad{color:#a32020;font-weight:bold}"
                + ".good{color:#1d6b3f}img{display:block;margin:14px 0;max-width:100%}h2{margin-top:34px}</style>");
    html.append("<h1>")
        .append(safe(experiment.title()))
        .append("</h1><p>Simulated, by <code>fawndock experiment</code>: ")
        .append(after.size())
        .append(" runs, seeds ")
        .append(after.stream().map(RunResult::seed).distinct().count())
        .append(", build ")
        .append(builds(after))
        .append(
            before.isEmpty() ? "" : "; before: " + before.size() + " runs, build " + builds(before))
        .append(".</p>");
    expectations();
    if (before.isEmpty()) {
      cells();
    } else {
      differences();
    }
    html.append("<h2>Along ")
        .append(safe(experiment.axis()))
        .append("</h2><p>Medians over the seeds.</p>");
    Map<String, List<RunResult>> sets = new LinkedHashMap<>();
    if (!before.isEmpty()) {
      sets.put("before", before);
    }
    sets.put(before.isEmpty() ? "" : "after", after);
    for (String figure : experiment.shownFigures()) {
      for (Plot plot : PlotSelection.along(experiment.axis(), figure, sets)) {
        draw(plot, List.of());
      }
    }
    courses();
    if (left > 0) {
      html.append("<p>")
          .append(left)
          .append(" plots more were left out; an experiment that varies less has them all.</p>");
    }
    Path page = folder.resolve("report.html");
    Path whole = folder.resolve("report.html.new");
    Files.writeString(whole, html, StandardCharsets.UTF_8);
    return Files.move(
        whole, page, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private static String builds(List<RunResult> all) {
    return all.stream().map(RunResult::build).distinct().collect(Collectors.joining(", "));
  }

  private static String safe(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static String number(double value) {
    return Double.isInfinite(value)
        ? "-"
        : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.3f", value);
  }

  private void expectations() {
    List<ResultStatistics.ExpectationResult> judged = ResultStatistics.evaluate(experiment.expectations(), after);
    long bad =
        after.stream().filter(o -> o.figures().getOrDefault("rules-broken", 0.0) > 0).count();
    html.append(
        "<h2>Expected</h2><table><tr><th class=n>what<th class=n>holds<th>worst<th class=n>with<th>runs<th>break it");
    for (ResultStatistics.ExpectationResult each : judged) {
      row(
          each.expectation().text(),
          each.isSatisfied(),
          number(each.worstValue()),
          each.worstCell().isEmpty()
              ? ""
              : PlotSelection.named(each.worstCell(), each.worstCell().keySet()) + ", seed " + each.worstSeed(),
          each.runCount(),
          each.violationCount());
    }
    row("the five rules", bad == 0, "", "", after.size(), (int) bad);
    html.append("</table>");
  }

  private void row(String what, boolean kept, String worst, String with, int runs, int broken) {
    html.append("<tr><td class=n>")
        .append(safe(what))
        .append(kept ? "<td class='n good'>yes" : "<td class='n bad'>NO")
        .append("<td>")
        .append(worst)
        .append("<td class=n>")
        .append(safe(with))
        .append("<td>")
        .append(runs)
        .append("<td>")
        .append(broken);
  }

  private void cells() {
    Map<String, Set<String>> varied = PlotSelection.varied(after);
    html.append(
        "<h2>All cells</h2><p>Median over the seeds, least and most in brackets.</p><table><tr><th class=n>cell");
    experiment.shownFigures().forEach(figure -> html.append("<th>").append(safe(figure)));
    int rows = 0;
    for (Map.Entry<Map<String, String>, List<RunResult>> cell : ResultStatistics.groupByValues(after).entrySet()) {
      if (rows++ >= MOST_ROWS) {
        html.append("<tr><td class=n>more are in results.csv");
        break;
      }
      html.append("<tr><td class=n>")
          .append(safe(PlotSelection.named(cell.getKey(), varied.keySet())));
      for (String figure : experiment.shownFigures()) {
        ResultStatistics.SeedSpread s = ResultStatistics.seedSpread(cell.getValue(), figure);
        html.append("<td>")
            .append(
                s == null
                    ? "-"
                    : number(s.median())
                        + " ("
                        + number(s.min())
                        + " – "
                        + number(s.max())
                        + ")");
      }
    }
    html.append("</table>");
  }

  private void differences() {
    Map<String, Set<String>> varied = PlotSelection.varied(after);
    Map<Map<String, String>, List<RunResult>> was = ResultStatistics.groupByValues(before);
    html.append(
        "<h2>Before and after</h2><p>Mean of the differences, seed by seed, and its 95% interval; bold where that leaves out "
            + "0.</p><table><tr><th class=n>cell");
    experiment.shownFigures().forEach(figure -> html.append("<th>").append(safe(figure)));
    int rows = 0;
    for (Map.Entry<Map<String, String>, List<RunResult>> cell : ResultStatistics.groupByValues(after).entrySet()) {
      if (!was.containsKey(cell.getKey()) || rows++ >= MOST_ROWS) {
        continue;
      }
      html.append("<tr><td class=n>")
          .append(safe(PlotSelection.named(cell.getKey(), varied.keySet())));
      for (String figure : experiment.shownFigures()) {
        ResultStatistics.Difference d =
            ResultStatistics.difference(was.get(cell.getKey()), cell.getValue(), figure);
        ResultStatistics.SeedSpread a = ResultStatistics.seedSpread(was.get(cell.getKey()), figure);
        ResultStatistics.SeedSpread b = ResultStatistics.seedSpread(cell.getValue(), figure);
        html.append("<td>")
            .append(
                d == null
                    ? "-"
                    : number(a.median())
                        + " → "
                        + number(b.median())
                        + "<br>"
                        + (d.isSignificant() ? "<b>" : "")
                        + String.format(Locale.ROOT, "%+.3f", d.mean())
                        + (d.isSignificant() ? "</b>" : "")
                        + " ["
                        + number(d.low())
                        + ", "
                        + number(d.high())
                        + "]");
      }
    }
    html.append("</table>");
    int none =
        (int) ResultStatistics.groupByValues(after).keySet().stream().filter(v -> !was.containsKey(v)).count();
    html.append(
        none == 0 ? "" : "<p>" + none + " cells have nothing before to be held against.</p>");
  }

  /** The course of some cells' first runs, spread evenly over all cells. */
  private void courses() throws IOException {
    List<List<RunResult>> cells = List.copyOf(ResultStatistics.groupByValues(after).values());
    Set<String> varied = PlotSelection.varied(after).keySet();
    int many = Math.min(MOST_COURSES, cells.size());
    html.append("<h2>How single runs went</h2>")
        .append(cells.size() > many ? "<p>" + many + " of " + cells.size() + " cells.</p>" : "");
    for (int i = 0; i < many; i++) {
      RunResult run = cells.get(many == 1 ? 0 : i * (cells.size() - 1) / (many - 1)).get(0);
      String name = PlotSelection.named(run.values(), varied) + ", seed " + run.seed();
      html.append("<h3>")
          .append(safe(name))
          .append("</h3><p>")
          .append(safe(run.verdict()))
          .append("</p>");
      draw(
          PlotSelection.course(
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
      draw(
          PlotSelection.course(
              run, "Latency of what was served", "ms", List.of("p50 ms", "p99 ms")),
          run.marks());
      draw(PlotSelection.quota(run), run.marks());
      draw(
          PlotSelection.course(
              run,
              "Attempts at workers and calls to the counter",
              "a second",
              List.of("attempts", "repeated attempts", "tries asked", "counter calls")),
          run.marks());
      draw(
          PlotSelection.course(
              run, "Longest wait in the counter's queue", "ms", List.of("counter queue ms")),
          run.marks());
    }
  }

  private void draw(Plot plot, List<FaultWindow> marks) throws IOException {
    if (plot.series().isEmpty() || plot.foot().isEmpty()) {
      return;
    }
    if (plots >= MOST_PLOTS) {
      left++;
      return;
    }
    byte[] png = PlotRenderer.png(plot, marks);
    Files.write(
        folder
            .resolve("plots")
            .resolve(
                String.format(
                    Locale.ROOT,
                    "%02d-%s.png",
                    ++plots,
                    plot.title().replaceAll("[^A-Za-z0-9]+", "-").toLowerCase(Locale.ROOT))),
        png);
    html.append("<img width=")
        .append(PlotRenderer.WIDTH)
        .append(" alt=\"")
        .append(safe(plot.title()).replace("\"", "&quot;"))
        .append("\" src=\"data:image/png;base64,")
        .append(Base64.getEncoder().encodeToString(png))
        .append("\">");
  }
}
