package fawndock.simulation;

import fawndock.fake.FakeBackend.Build;
import fawndock.loadgen.Words;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.settings.ConfigurationException;
import fawndock.settings.ConfigurationFile;
import fawndock.settings.ConfigurationLine;
import fawndock.settings.LineArguments;
import fawndock.settings.PolicyConfigReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads a deployment to be emulated, with its troubles; what each keyword means is in
 * docs/operations/emulate.md.
 */
public final class DeploymentFile extends ConfigurationFile {
  /**
   * What was read.
   *
   * @param troubles put into a run before it begins, in the order of the file
   * @param marks when which trouble was
   * @param settings all lines as they were taken, variables put in
   */
  public record Read(
      Deployment deployment,
      List<Consumer<Emulation>> troubles,
      List<Mark> marks,
      String settings) {
    /** The run that the file describes, ready to begin. */
    public Emulation emulation(Function<PolicyConfig, GatewayPolicy> maker) {
      Emulation made = new Emulation(deployment, maker);
      troubles.forEach(trouble -> trouble.accept(made));
      return made;
    }

    /** The same with another seed. */
    public Read seed(long seed) {
      Deployment d = deployment;
      return new Read(
          new Deployment(
              d.gatekeepers(),
              d.workers(),
              d.zones(),
              d.build(),
              d.thrash(),
              d.network(),
              d.counter(),
              d.rosterMicros(),
              d.classes(),
              d.plans(),
              d.limits(),
              d.rules(),
              d.demands(),
              d.seconds(),
              seed),
          troubles,
          marks,
          settings);
    }
  }

  /**
   * A trouble of a kind, from a second to another; on so many workers from one on, of such a size
   * where its kind has one.
   */
  public record Mark(
      String kind, double from, double until, int worker, int count, double times, double share) {}

  private static final long SECOND = 1_000_000;
  private static final long HOUR = 3_600 * SECOND;
  private final Map<String, RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final List<Deployment.Demand> demands = new ArrayList<>();
  private final List<Consumer<Emulation>> troubles = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();
  private final StringBuilder taken = new StringBuilder();
  private final Map<String, String> given;
  private final Map<String, String> variables = new LinkedHashMap<>();
  private int gatekeepers = 4;
  private int workers = 8;
  private int zones = 1;
  private Build build = new Build(4, 20_000, 200, 0.2, 10 * SECOND, 2, 2 * SECOND);
  private double thrash;
  private Deployment.Network network = new Deployment.Network(200, 100, 0);
  private Deployment.Counter counter = new Deployment.Counter(20_000, 50_000, 1, 0, 0);
  private long roster = 1_000_000;
  private GatewayLimits limits =
      new GatewayLimits(3, 10_000, 30 * SECOND, false, true, false, true, true);
  private ServiceRules rules =
      new ServiceRules(10_000, 2 * SECOND, 0.2, 10 * SECOND, 2, 2 * SECOND, 10 * SECOND);
  private double seconds = 60;
  private long seed = 1;

  private DeploymentFile(Map<String, String> given) {
    super(Set.of("class", "plan", "demand", "trouble", "let"));
    this.given = given;
    keywords.put("let", this::let);
    keywords.put("gatekeepers", line -> gatekeepers = readInt(line, 1, 10_000));
    keywords.put("workers", this::workers);
    keywords.put(
        "network",
        line -> {
          LineArguments a = arguments(line, 0, "network [way TIME] [more TIME] [loss SHARE]");
          network =
              new Deployment.Network(
                  a.micros("way", 1, SECOND, 200),
                  a.micros("more", 0, SECOND, 100),
                  a.number("loss", 0, 1, 0));
          a.rejectUnknown();
        });
    keywords.put(
        "counter",
        line -> {
          LineArguments a =
              arguments(
                  line,
                  0,
                  "counter [rate CALLS-A-SECOND] [wait TIME] [parts NUMBER] [turns-away SHARE] [queue TIME]");
          counter =
              new Deployment.Counter(
                  a.number("rate", 1, 1e9, 20_000),
                  a.micros("wait", 1_000, 10 * SECOND, 50_000),
                  a.integer("parts", 1, 1_000, 1),
                  a.number("turns-away", 0, 1, 0),
                  a.micros("queue", 0, SECOND, 0));
          a.rejectUnknown();
        });
    keywords.put("roster", line -> roster = time(line, HOUR));
    keywords.put("for", line -> seconds = time(line, 24 * HOUR) / (double) SECOND);
    keywords.put("seed", line -> seed = readInt(line, 0, 999_999_999));
    keywords.put(
        "class",
        line -> {
          LineArguments a =
              arguments(line, 1, "class NAME aim TIME deadline TIME [ARGUMENT VALUE ...]");
          RequestClass c = PolicyConfigReader.readRequestClass(a);
          if (classes.putIfAbsent(c.name(), c) != null) {
            a.addError("class " + c.name() + " is given twice", "each class once");
          }
          a.rejectUnknown();
        });
    keywords.put(
        "plan",
        line -> {
          LineArguments a = arguments(line, 1, "plan NAME [rate N] [store N] [ARGUMENT VALUE ...]");
          Plan p = PolicyConfigReader.readPlan(a);
          if (plans.putIfAbsent(p.name(), p) != null) {
            a.addError("plan " + p.name() + " is given twice", "each plan once");
          }
          a.rejectUnknown();
        });
    keywords.put(
        "limits",
        line -> {
          LineArguments a = arguments(line, 0, "limits [ARGUMENT VALUE ...]");
          limits = PolicyConfigReader.readLimits(a);
          a.rejectUnknown();
        });
    keywords.put(
        "rules",
        line -> {
          LineArguments a = arguments(line, 0, "rules [ARGUMENT VALUE ...]");
          rules = PolicyConfigReader.readRules(a);
          a.rejectUnknown();
        });
    keywords.put("demand", this::demand);
    keywords.put("trouble", this::trouble);
  }

  private long time(ConfigurationLine line, long most) {
    LineArguments a = arguments(line, 1, line.keyword() + " TIME");
    long time = a.parseMicros(line.keyword(), a.positional(0), 0, most, SECOND);
    a.rejectUnknown();
    return time;
  }

  private void workers(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            1,
            "workers NUMBER [cores N] [work TIME] [queue N] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [thrash SHARE] [zones N]");
    workers = a.parseInteger("workers", a.positional(0), 1, 10_000, 1);
    build =
        new Build(
            a.integer("cores", 1, 1_000, 4),
            a.micros("work", 1, HOUR, 20_000),
            a.integer("queue", 1, 1_000_000, 200),
            a.number("cold-share", 0.01, 1, 0.2),
            a.micros("cold-time", 0, HOUR, 10 * SECOND),
            a.number("fall-multiple", 1, 1_000, 2),
            a.micros("fall-time", 1_000, HOUR, 2 * SECOND));
    thrash = a.number("thrash", 0, 10, 0);
    zones = a.integer("zones", 1, 1_000, 1);
    a.rejectUnknown();
  }

  private void demand(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 1, "demand NAME class NAME plan NAME rate NUMBER [ARGUMENT VALUE ...]");
    String type = a.word("class", "");
    String plan = a.word("plan", "");
    double rate = a.number("rate", 0.001, 1_000_000, 0);
    if (a.isValid() && rate == 0) {
      a.addError("demand " + a.positional(0) + " has no rate", "rate NUMBER");
    }
    double each = a.number("each", 0.001, 1_000_000, 0);
    int customers = a.integer("customers", 1, 1_000_000, 1);
    if (each > 0) {
      customers = (int) Math.max(1, Math.min(1_000_000, Math.round(rate / each)));
      rate = customers * each;
    }
    demands.add(
        new Deployment.Demand(
            a.positional(0),
            type,
            plan,
            customers,
            a.number("skew", 0, 10, 0),
            a.integer("spread", 1, 10_000, 10_000),
            rate,
            Words.shape(a),
            a.micros("remaining", 1_000, HOUR, 2 * SECOND),
            Words.manners(a)));
    a.rejectUnknown();
    crossCheck(
        a,
        () -> classes.containsKey(type),
        "there is no class '" + type + "'",
        "the name of a class line");
    crossCheck(
        a,
        () -> plans.containsKey(plan),
        "there is no plan '" + plan + "'",
        "the name of a plan line");
  }

  /**
   * What stands in the place of {@code $NAME} in later lines, unless whoever reads the file gives
   * another.
   */
  private void let(ConfigurationLine line) {
    LineArguments a = arguments(line, 2, "let NAME VALUE");
    if (a.isValid() && !a.positional(0).matches("[a-z][a-z0-9-]*")) {
      a.addError("the name '" + a.positional(0) + "'", "small letters, digits and -");
    }
    variables.put(a.positional(0), given.getOrDefault(a.positional(0), a.positional(1)));
    a.rejectUnknown();
  }

  @Override
  protected ConfigurationLine prepare(ConfigurationLine line) {
    List<String> words = line.words();
    if (line.keyword().equals("when")) {
      String name = words.size() > 3 ? words.get(1) : "";
      if (!variables.containsKey(name)) {
        addError(
            line,
            words.size() > 3
                ? "there is no variable '" + name + "'"
                : "when has " + (words.size() - 1) + " arguments",
            "when NAME VALUE|VALUE LINE, after let NAME VALUE");
        return null;
      }
      if (!List.of(words.get(2).split("\\|")).contains(variables.get(name))) {
        return null;
      }
      words = words.subList(3, words.size());
    }
    List<String> put = new ArrayList<>();
    for (String word : words) {
      if (word.startsWith("$")) {
        if (!variables.containsKey(word.substring(1))) {
          addError(
              line,
              "there is no variable '" + word + "'",
              "let " + word.substring(1) + " VALUE before it");
          return null;
        }
        put.add(variables.get(word.substring(1)));
      } else {
        put.add(word);
      }
    }
    if (!put.get(0).equals("let")) {
      taken.append(String.join(" ", put)).append('\n');
    }
    return new ConfigurationLine(line.file(), line.number(), put);
  }

  private void trouble(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 1, "trouble KIND from TIME [until TIME] [ARGUMENT VALUE ...]");
    TroubleLine read = TroubleLine.read(a);
    int last = read.mark().worker() + read.mark().count() - 1;
    crossCheck(a, () -> last < workers, "there is no worker " + last, "a number below " + workers);
    crossCheck(
        a,
        () -> read.gatekeepers() <= gatekeepers,
        "there are not " + read.gatekeepers() + " gatekeepers",
        "at most " + gatekeepers);
    crossCheck(
        a,
        () -> read.part() < counter.parts(),
        "the counter has no part " + read.part(),
        "a number below " + counter.parts());
    crossCheck(
        a, () -> read.zone() < zones, "there is no zone " + read.zone(), "a number below " + zones);
    crossCheck(
        a,
        () ->
            read.demand().isEmpty()
                || demands.stream().anyMatch(d -> d.name().equals(read.demand())),
        "there is no demand '" + read.demand() + "'",
        "the name of a demand line");
    troubles.add(read.made());
    marks.add(read.mark());
    a.rejectUnknown();
  }

  /**
   * Reads a deployment file and all that it includes.
   *
   * @throws ConfigurationException with every mistake when there is any
   */
  public static Read read(Path file) throws ConfigurationException {
    return read(file, Map.of());
  }

  /**
   * The same with other values of its variables.
   *
   * @param given by name; each must have a {@code let} line
   */
  public static Read read(Path file, Map<String, String> given) throws ConfigurationException {
    DeploymentFile f = new DeploymentFile(given);
    f.readLines(file);
    given
        .keySet()
        .forEach(
            name ->
                f.addFileErrorIf(
                    !f.variables.containsKey(name),
                    "no variable '" + name + "'",
                    "let " + name + " VALUE"));
    f.addFileErrorIf(
        f.demands.isEmpty(), "no demand", "demand NAME class NAME plan NAME rate NUMBER");
    f.throwIfErrors();
    return new Read(
        new Deployment(
            f.gatekeepers,
            f.workers,
            f.zones,
            f.build,
            f.thrash,
            f.network,
            f.counter,
            f.roster,
            List.copyOf(f.classes.values()),
            List.copyOf(f.plans.values()),
            f.limits,
            f.rules,
            List.copyOf(f.demands),
            f.seconds,
            f.seed),
        List.copyOf(f.troubles),
        List.copyOf(f.marks),
        f.taken.toString());
  }
}
