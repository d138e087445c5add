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

/** Reads a load file; what each keyword means is in docs/operations/load.md. */
public final class LoadFile extends ConfigurationFile {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long DAY = 86_400 * SECOND;
  private final List<Address> targets = new ArrayList<>();
  private final List<Flow> flows = new ArrayList<>();
  private final List<TraceReplay> traces = new ArrayList<>();
  private boolean http2;
  private double seconds = 10;
  private long seed = 1;
  private int connections = 256;
  private int outstanding = 10_000;
  private long slack = 20 * MILLI;
  private double interval = 1;

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
    keywords.put("for", line -> seconds = seconds(line, 100 * MILLI));
    keywords.put("interval", line -> interval = seconds(line, 100 * MILLI));
    keywords.put("slack", line -> slack = (long) (seconds(line, MILLI) * SECOND));
    keywords.put("seed", line -> seed = readInt(line, 0, 999_999_999));
    keywords.put("connections", line -> connections = readInt(line, 1, 20_000));
    keywords.put("outstanding", line -> outstanding = readInt(line, 1, 1_000_000));
    keywords.put("flow", this::flow);
    keywords.put("trace", line -> trace(line, file));
  }

  private double seconds(ConfigurationLine line, long least) {
    LineArguments a = arguments(line, 1, line.keyword() + " TIME");
    double time =
        a.parseMicros(line.keyword(), a.positional(0), least, DAY, least) / (double) SECOND;
    a.rejectUnknown();
    return time;
  }

  private void flow(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 3, "flow NAME METHOD PATH rate NUMBER|clients NUMBER [ARGUMENT VALUE ...]");
    double rate = a.number("rate", 0.001, 1_000_000, 0);
    int closed = a.integer("clients", 1, 100_000, 0);
    if (a.isValid() && (rate > 0) == (closed > 0)) {
      a.addError(
          "flow " + a.positional(0) + " has " + (rate > 0 ? "a rate and clients" : "no rate"),
          "rate or clients");
    }
    boolean even = LoadArguments.word(a, "arrivals", "poisson", "poisson|even").equals("even");
    RateShape shape = LoadArguments.shape(a);
    int customers = a.integer("customers", 1, 1_000_000, 1);
    double skew = a.number("skew", 0, 10, 0);
    flows.add(
        new Flow(
            request(a, a.positional(1), a.positional(2)),
            rate,
            shape,
            even,
            closed,
            customers,
            skew));
    a.rejectUnknown();
  }

  private void trace(ConfigurationLine line, Path file) {
    LineArguments a = arguments(line, 2, "trace NAME FILE [speed NUMBER] [ARGUMENT VALUE ...]");
    double speed = a.number("speed", 0.001, 1_000, 1);
    String method = a.word("method", "GET");
    String path = a.word("path", "/");
    Path from = file.toAbsolutePath().getParent().resolve(a.positional(1));
    if (a.isValid() && !java.nio.file.Files.isReadable(from)) {
      a.addError("no trace " + from, "a file that can be read");
    }
    traces.add(new TraceReplay(request(a, method, path), from, speed));
    a.rejectUnknown();
  }

  private static Request request(LineArguments a, String method, String path) {
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
   * Reads a load file and all that it includes.
   *
   * @throws ConfigurationException with every error when there is any
   */
  public static LoadPlan read(Path file) throws ConfigurationException {
    LoadFile read = new LoadFile(file);
    read.readLines(file);
    read.addFileErrorIf(read.targets.isEmpty(), "no target", "target HOST:PORT");
    read.addFileErrorIf(
        read.flows.isEmpty() && read.traces.isEmpty(),
        "no flow and no trace",
        "flow NAME METHOD PATH rate NUMBER");
    read.throwIfErrors();
    return new LoadPlan(
        List.copyOf(read.targets),
        read.http2,
        read.seconds,
        read.seed,
        read.connections,
        read.outstanding,
        read.slack,
        read.interval,
        List.copyOf(read.flows),
        List.copyOf(read.traces));
  }
}
