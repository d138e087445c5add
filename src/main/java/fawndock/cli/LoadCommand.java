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
 * {@code fawndock load FILE}: an open load on targets, and what became of each request from its
 * intended start.
 */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description =
        "Sends the load that a file describes, whatever its answers, and tells their latencies.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:done",
      "1:a trace could not be read",
      "2:mistakes in the file",
      "3:the generator could not keep its schedule, the figures are unusable"
    })
final class LoadCommand implements Callable<Integer> {
  private static final int UNUSABLE = 3;

  @Parameters(paramLabel = "FILE", description = "what to send; docs/operations/load.md")
  private Path file;

  @Option(names = "--json", paramLabel = "FILE", description = "writes all figures there")
  private Path json;

  @Option(
      names = "--hdr",
      paramLabel = "FILE",
      description = "writes an HdrHistogram interval log there")
  private Path hdr;

  @Option(names = "--quiet", description = "no lines while it runs")
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
                plan.flows().stream().map(f -> f.request().name()),
                plan.traces().stream().map(t -> t.request().name()))
            .toList();
    List<RequestTrace.Read> traces = new ArrayList<>();
    for (LoadPlan.TraceReplay each : plan.traces()) {
      try (BufferedReader from = Files.newBufferedReader(each.file())) {
        RequestTrace.Read read = RequestTrace.read(from, each.file().toString());
        System.out.printf(
            "%s: %d requests over %.1f s, %d out of order, %d other lines%n",
            each.file(),
            read.entries().size(),
            read.entries().get(read.entries().size() - 1).atMicros() / 1e6,
            read.moved(),
            read.skipped());
        traces.add(read);
      }
    }
    Vertx vertx = Vertx.vertx();
    try (HistogramLog log = hdr == null ? null : new HistogramLog(hdr, names)) {
      LoadGenerator generator =
          new LoadGenerator(
              vertx,
              plan,
              traces,
              quiet ? p -> {} : p -> line(p, plan),
              log == null ? t -> {} : log::interval);
      Runtime.getRuntime().addShutdownHook(new Thread(generator::stop, "stop"));
      List<FlowStatistics> tallies = generator.run().get();
      return report(plan, names, tallies);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } finally {
      vertx.close();
    }
  }

  private static void line(LoadGenerator.Progress p, LoadPlan plan) {
    int done = (int) Math.min(20, 20 * p.seconds() / plan.seconds());
    System.out.printf(
        "[%s%s] %6.1f s  due %d  good %d  other %d  out %d  p50 %.1f ms  p99 %.1f ms%n",
        "#".repeat(done),
        " ".repeat(20 - done),
        p.seconds(),
        p.due(),
        p.good(),
        p.other(),
        p.out(),
        p.p50Micros() / 1e3,
        p.p99Micros() / 1e3);
  }

  private int report(LoadPlan plan, List<String> names, List<FlowStatistics> tallies)
      throws IOException {
    boolean unusable = false;
    Map<String, Object> all = new LinkedHashMap<>();
    System.out.printf(
        "%-16s %9s %9s %9s %9s %9s %9s %9s %9s %10s%n",
        "latency, ms", "due", "good", "p50", "p90", "p99", "p99.9", "max", "left", "no answer");
    for (int i = 0; i < names.size(); i++) {
      FlowStatistics tally = tallies.get(i);
      Map<String, Object> told = tally.told();
      all.put(names.get(i), told);
      @SuppressWarnings("unchecked")
      Map<String, Number> p = (Map<String, Number>) told.get("latency_us");
      System.out.printf(
          "%-16s %9s %9d %9.1f %9.1f %9.1f %9.1f %9.1f %9s %10s%n",
          names.get(i),
          told.get("due"),
          tally.good(),
          ms(p, "p50"),
          ms(p, "p90"),
          ms(p, "p99"),
          ms(p, "p999"),
          ms(p, "max"),
          told.get("client_left"),
          told.get("no_answer"));
      if (tally.unusable()) {
        unusable = true;
        System.out.printf(
            "%s: UNUSABLE: of %s due, %s left more than %d ms late and %s were not sent%n",
            names.get(i),
            told.get("due"),
            told.get("sent_late"),
            plan.slackMicros() / 1_000,
            told.get("not_sent"));
      }
    }
    if (json != null) {
      Map<String, Object> run = new LinkedHashMap<>();
      run.put("usable", !unusable);
      run.put("seconds", plan.seconds());
      run.put("seed", plan.seed());
      run.put("flows", all);
      Files.writeString(
          json,
          new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(run)
              + "\n");
    }
    return unusable ? UNUSABLE : 0;
  }

  private static double ms(Map<String, Number> micros, String which) {
    return micros.get(which).doubleValue() / 1e3;
  }
}
