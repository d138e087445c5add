package fawndock.loadgen;

import fawndock.loadgen.LoadPlan.Flow;
import fawndock.loadgen.LoadPlan.Request;
import fawndock.loadgen.LoadPlan.TraceReplay;
import fawndock.settings.Address;
import fawndock.settings.ConfigurationException;
import fawndock.settings.ConfigurationFile;
import fawndock.settings.ConfigurationLine;
import fawndock.settings.LineArguments;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Parser of load files. The keywords are specified in docs/operations/load.md. */
public final class LoadFile extends ConfigurationFile {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_DAY = 86_400 * MICROS_PER_SECOND;
  private final List<Address> targets = new ArrayList<>();
  private final List<Flow> flows = new ArrayList<>();
  private final List<TraceReplay> traces = new ArrayList<>();
  private boolean http2;
  private double seconds = 10;
  private long seed = 1;
  private int connections = 256;
  private int maxOutstanding = 10_000;
  private long slackMicros = 20 * MICROS_PER_MILLI;
  private double intervalSeconds = 1;

  private LoadFile(Path file) {
    super(Set.of("target", "flow", "trace"));
    keywords.put(
        "target",
        line -> {
          LineArguments a = arguments(line, 1, "target HOST:PORT");
          targets.add(a.address(0));
          a.rejectUnknown();
        });
    keywords.put(
        "protocol",
        line -> {
          LineArguments a = arguments(line, 1, "protocol h1|h2");
          http2 = a.positional(0).equals("h2");
          if (!a.positional(0).matches("h1|h2")) {
            a.addError("protocol '" + a.positional(0) + "'", "h1 or h2");
          }
          a.rejectUnknown();
        });
    keywords.put("for", line -> seconds = readSeconds(line, 100 * MICROS_PER_MILLI));
    keywords.put("interval", line -> intervalSeconds = readSeconds(line, 100 * MICROS_PER_MILLI));
    keywords.put(
        "slack",
        line -> slackMicros = (long) (readSeconds(line, MICROS_PER_MILLI) * MICROS_PER_SECOND));
    keywords.put("seed", line -> seed = readInt(line, 0, 999_999_999));
    keywords.put("connections", line -> connections = readInt(line, 1, 20_000));
    keywords.put("outstanding", line -> maxOutstanding = readInt(line, 1, 1_000_000));
    keywords.put("flow", this::readFlow);
    keywords.put("trace", line -> readTrace(line, file));
  }

  private double readSeconds(ConfigurationLine line, long minMicros) {
    LineArguments a = arguments(line, 1, line.keyword() + " TIME");
    double seconds =
        a.parseMicros(line.keyword(), a.positional(0), minMicros, MICROS_PER_DAY, minMicros)
            / (double) MICROS_PER_SECOND;
    a.rejectUnknown();
    return seconds;
  }

  private void readFlow(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 3, "flow NAME METHOD PATH rate NUMBER|clients NUMBER [ARGUMENT VALUE ...]");
    double requestsPerSecond = a.number("rate", 0.001, 1_000_000, 0);
    int closedLoopClients = a.integer("clients", 1, 100_000, 0);
    if (a.isValid() && (requestsPerSecond > 0) == (closedLoopClients > 0)) {
      a.addError(
          "flow "
              + a.positional(0)
              + " has "
              + (requestsPerSecond > 0 ? "a rate and clients" : "no rate"),
          "rate or clients");
    }
    boolean isEven =
        LoadArguments.readChoice(a, "arrivals", "poisson", "poisson|even").equals("even");
    RateShape rateShape = LoadArguments.shape(a);
    int customerCount = a.integer("customers", 1, 1_000_000, 1);
    double skew = a.number("skew", 0, 10, 0);
    flows.add(
        new Flow(
            readRequest(a, a.positional(1), a.positional(2)),
            requestsPerSecond,
            rateShape,
            isEven,
            closedLoopClients,
            customerCount,
            skew));
    a.rejectUnknown();
  }

  private void readTrace(ConfigurationLine line, Path file) {
    LineArguments a = arguments(line, 2, "trace NAME FILE [speed NUMBER] [ARGUMENT VALUE ...]");
    double speed = a.number("speed", 0.001, 1_000, 1);
    String method = a.word("method", "GET");
    String path = a.word("path", "/");
    Path traceFile = file.toAbsolutePath().getParent().resolve(a.positional(1));
    if (a.isValid() && !java.nio.file.Files.isReadable(traceFile)) {
      a.addError("no trace " + traceFile, "a file that can be read");
    }
    traces.add(new TraceReplay(readRequest(a, method, path), traceFile, speed));
    a.rejectUnknown();
  }

  private static Request readRequest(LineArguments a, String method, String path) {
    if (!method.matches("[A-Z]{1,20}|")) {
      a.addError("method '" + method + "'", "letters such as GET");
    }
    if (!path.matches("/.*|")) {
      a.addError("path '" + path + "'", "one that begins with /");
    }
    return new Request(
        a.positional(0),
        method,
        path,
        a.word("key", ""),
        a.integer("body", 0, 16 << 20, 0),
        LoadArguments.clientBehavior(a));
  }

  /**
   * Reads a load file and the files that it includes.
   *
   * @throws ConfigurationException with every error, when there is one
   */
  public static LoadPlan read(Path file) throws ConfigurationException {
    LoadFile loadFile = new LoadFile(file);
    loadFile.readLines(file);
    loadFile.addFileErrorIf(loadFile.targets.isEmpty(), "no target", "target HOST:PORT");
    loadFile.addFileErrorIf(
        loadFile.flows.isEmpty() && loadFile.traces.isEmpty(),
        "no flow and no trace",
        "flow NAME METHOD PATH rate NUMBER");
    loadFile.throwIfErrors();
    return new LoadPlan(
        List.copyOf(loadFile.targets),
        loadFile.http2,
        loadFile.seconds,
        loadFile.seed,
        loadFile.connections,
        loadFile.maxOutstanding,
        loadFile.slackMicros,
        loadFile.intervalSeconds,
        List.copyOf(loadFile.flows),
        List.copyOf(loadFile.traces));
  }
}
