package fawndock.loadgen;

import fawndock.loadgen.LoadPlan.Flow;
import fawndock.loadgen.LoadPlan.Played;
import fawndock.loadgen.LoadPlan.Request;
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
  private final List<Played> traces = new ArrayList<>();
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
          LineArguments a = args(line, 1, "target HOST:PORT");
          targets.add(a.address(0));
          a.finish();
        });
    keywords.put(
        "protocol",
        line -> {
          LineArguments a = args(line, 1, "protocol h1|h2");
          http2 = a.place(0).equals("h2");
          if (!a.place(0).matches("h1|h2")) {
            a.wrong("protocol '" + a.place(0) + "'", "h1 or h2");
          }
          a.finish();
        });
    keywords.put("for", line -> seconds = seconds(line, 100 * MILLI));
    keywords.put("interval", line -> interval = seconds(line, 100 * MILLI));
    keywords.put("slack", line -> slack = (long) (seconds(line, MILLI) * SECOND));
    keywords.put("seed", line -> seed = whole(line, 0, 999_999_999));
    keywords.put("connections", line -> connections = whole(line, 1, 20_000));
    keywords.put("outstanding", line -> outstanding = whole(line, 1, 1_000_000));
    keywords.put("flow", this::flow);
    keywords.put("trace", line -> trace(line, file));
  }

  private double seconds(ConfigurationLine line, long least) {
    LineArguments a = args(line, 1, line.keyword() + " TIME");
    double time = a.timeOf(line.keyword(), a.place(0), least, DAY, least) / (double) SECOND;
    a.finish();
    return time;
  }

  private void flow(ConfigurationLine line) {
    LineArguments a =
        args(line, 3, "flow NAME METHOD PATH rate NUMBER|clients NUMBER [ARGUMENT VALUE ...]");
    double rate = a.number("rate", 0.001, 1_000_000, 0);
    int closed = a.whole("clients", 1, 100_000, 0);
    if (a.good() && (rate > 0) == (closed > 0)) {
      a.wrong(
          "flow " + a.place(0) + " has " + (rate > 0 ? "a rate and clients" : "no rate"),
          "rate or clients");
    }
    boolean even = Words.word(a, "arrivals", "poisson", "poisson|even").equals("even");
    Shape shape = Words.shape(a);
    int customers = a.whole("customers", 1, 1_000_000, 1);
    double skew = a.number("skew", 0, 10, 0);
    flows.add(
        new Flow(request(a, a.place(1), a.place(2)), rate, shape, even, closed, customers, skew));
    a.finish();
  }

  private void trace(ConfigurationLine line, Path file) {
    LineArguments a = args(line, 2, "trace NAME FILE [speed NUMBER] [ARGUMENT VALUE ...]");
    double speed = a.number("speed", 0.001, 1_000, 1);
    String method = a.word("method", "GET");
    String path = a.word("path", "/");
    Path from = file.toAbsolutePath().getParent().resolve(a.place(1));
    if (a.good() && !java.nio.file.Files.isReadable(from)) {
      a.wrong("no trace " + from, "a file that can be read");
    }
    traces.add(new Played(request(a, method, path), from, speed));
    a.finish();
  }

  private static Request request(LineArguments a, String method, String path) {
    if (!method.matches("[A-Z]{1,20}|")) {
      a.wrong("method '" + method + "'", "letters such as GET");
    }
    if (!path.matches("/.*|")) {
      a.wrong("path '" + path + "'", "one that begins with /");
    }
    return new Request(
        a.place(0),
        method,
        path,
        a.word("key", ""),
        a.whole("body", 0, 16 << 20, 0),
        Words.manners(a));
  }

  /**
   * Reads a load file and all that it includes.
   *
   * @throws ConfigurationException with every mistake when there is any
   */
  public static LoadPlan read(Path file) throws ConfigurationException {
    LoadFile read = new LoadFile(file);
    read.lines(file);
    read.missing(read.targets.isEmpty(), "no target", "target HOST:PORT");
    read.missing(
        read.flows.isEmpty() && read.traces.isEmpty(),
        "no flow and no trace",
        "flow NAME METHOD PATH rate NUMBER");
    read.finish();
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
