package fawndock.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import fawndock.loadgen.FlowStatistics;
import fawndock.loadgen.HistogramLog;
import fawndock.loadgen.LoadFile;
import fawndock.loadgen.LoadGenerator;
import fawndock.loadgen.LoadPlan;
import fawndock.loadgen.RequestTrace;
import fawndock.settings.ConfigurationException;
import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code fawndock load FILE}: sends an open-loop load to targets and prints the outcomes and
 * latencies of the requests, measured from their intended starts.
 */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description =
        "Sends the load that a file describes, without waiting for responses, and prints the latencies.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:done",
      "1:a trace could not be read",
      "2:errors in the file",
      "3:the generator fell behind its schedule, the results are unusable"
    })
final class LoadCommand implements Callable<Integer> {
  private static final int EXIT_UNUSABLE = 3;

  @Parameters(paramLabel = "FILE", description = "the load file, see docs/operations/load.md")
  private Path file;

  @Option(names = "--json", paramLabel = "FILE", description = "writes all results to this file")
  private Path jsonFile;

  @Option(
      names = "--hdr",
      paramLabel = "FILE",
      description = "writes an HdrHistogram interval log to this file")
  private Path histogramFile;

  @Option(names = "--quiet", description = "does not print progress lines")
  private boolean quiet;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogConfigurator.configureForTool();
    LoadPlan plan;
    try {
      plan = LoadFile.read(file);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    List<String> names =
        Stream.concat(
                plan.flows().stream().map(flow -> flow.request().name()),
                plan.traces().stream().map(trace -> trace.request().name()))
            .toList();
    List<RequestTrace.ParsedTrace> traces = new ArrayList<>();
    for (LoadPlan.TraceReplay replay : plan.traces()) {
      try (BufferedReader reader = Files.newBufferedReader(replay.file())) {
        RequestTrace.ParsedTrace trace = RequestTrace.read(reader, replay.file().toString());
        System.out.printf(
            "%s: %d requests over %.1f s, %d out of order, %d other lines%n",
            replay.file(),
            trace.entries().size(),
            trace.entries().get(trace.entries().size() - 1).atMicros() / 1e6,
            trace.outOfOrderCount(),
            trace.skippedLineCount());
        traces.add(trace);
      }
    }
    Vertx vertx = Vertx.vertx();
    try (HistogramLog log = histogramFile == null ? null : new HistogramLog(histogramFile, names)) {
      LoadGenerator generator =
          new LoadGenerator(
              vertx,
              plan,
              traces,
              quiet ? progress -> {} : progress -> printProgress(progress, plan),
              log == null ? statistics -> {} : log::writeInterval);
      Runtime.getRuntime().addShutdownHook(new Thread(generator::stop, "stop"));
      List<FlowStatistics> statistics = generator.run().get();
      return report(plan, names, statistics);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } finally {
      vertx.close();
    }
  }

  private static void printProgress(LoadGenerator.Progress progress, LoadPlan plan) {
    int filledChars = (int) Math.min(20, 20 * progress.seconds() / plan.seconds());
    System.out.printf(
        "[%s%s] %6.1f s  due %d  good %d  other %d  out %d  p50 %.1f ms  p99 %.1f ms%n",
        "#".repeat(filledChars),
        " ".repeat(20 - filledChars),
        progress.seconds(),
        progress.due(),
        progress.good(),
        progress.other(),
        progress.inFlight(),
        progress.p50Micros() / 1e3,
        progress.p99Micros() / 1e3);
  }

  private int report(LoadPlan plan, List<String> names, List<FlowStatistics> statistics)
      throws IOException {
    boolean isUnusable = false;
    Map<String, Object> resultsByName = new LinkedHashMap<>();
    System.out.printf(
        "%-16s %9s %9s %9s %9s %9s %9s %9s %9s %10s%n",
        "latency, ms", "due", "good", "p50", "p90", "p99", "p99.9", "max", "left", "no answer");
    for (int i = 0; i < names.size(); i++) {
      FlowStatistics flowStatistics = statistics.get(i);
      Map<String, Object> results = flowStatistics.toMap();
      resultsByName.put(names.get(i), results);
      @SuppressWarnings("unchecked")
      Map<String, Number> latencies = (Map<String, Number>) results.get("latency_us");
      System.out.printf(
          "%-16s %9s %9d %9.1f %9.1f %9.1f %9.1f %9.1f %9s %10s%n",
          names.get(i),
          results.get("due"),
          flowStatistics.good(),
          toMillis(latencies, "p50"),
          toMillis(latencies, "p90"),
          toMillis(latencies, "p99"),
          toMillis(latencies, "p999"),
          toMillis(latencies, "max"),
          results.get("client_left"),
          results.get("no_answer"));
      if (flowStatistics.isUnusable()) {
        isUnusable = true;
        System.out.printf(
            "%s: UNUSABLE: of %s due, %s left more than %d ms late and %s were not sent%n",
            names.get(i),
            results.get("due"),
            results.get("sent_late"),
            plan.slackMicros() / 1_000,
            results.get("not_sent"));
      }
    }
    if (jsonFile != null) {
      Map<String, Object> summary = new LinkedHashMap<>();
      summary.put("usable", !isUnusable);
      summary.put("seconds", plan.seconds());
      summary.put("seed", plan.seed());
      summary.put("flows", resultsByName);
      Files.writeString(
          jsonFile,
          new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(summary)
              + "\n");
    }
    return isUnusable ? EXIT_UNUSABLE : 0;
  }

  private static double toMillis(Map<String, Number> micros, String key) {
    return micros.get(key).doubleValue() / 1e3;
  }
}
