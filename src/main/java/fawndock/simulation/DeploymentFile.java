package fawndock.simulation;

import fawndock.fake.FakeBackend.BackendConfig;
import fawndock.loadgen.LoadArguments;
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
 * Reads a deployment file: the deployment to simulate and its faults. The meaning of each keyword
 * is in docs/operations/emulate.md.
 */
public final class DeploymentFile extends ConfigurationFile {
  /**
   * What was read.
   *
   * @param faults scheduled before a run, in the order of the file
   * @param faultWindows when each fault happens, in the same order
   * @param effectiveSettings all lines that were read, with variables replaced
   */
  public record ParsedDeployment(
      Deployment deployment,
      List<Consumer<Simulation>> faults,
      List<FaultWindow> faultWindows,
      String effectiveSettings) {
    /** The run that the file describes, ready to start. */
    public Simulation createSimulation(Function<PolicyConfig, GatewayPolicy> policyFactory) {
      Simulation simulation = new Simulation(deployment, policyFactory);
      faults.forEach(fault -> fault.accept(simulation));
      return simulation;
    }

    /** The same deployment with another seed. */
    public ParsedDeployment withSeed(long seed) {
      Deployment d = deployment;
      return new ParsedDeployment(
          new Deployment(
              d.gatewayCount(),
              d.backendCount(),
              d.zoneCount(),
              d.backend(),
              d.queueingSlowdown(),
              d.network(),
              d.counter(),
              d.discoveryDelayMicros(),
              d.requestClasses(),
              d.plans(),
              d.limits(),
              d.rules(),
              d.demands(),
              d.durationSeconds(),
              seed),
          faults,
          faultWindows,
          effectiveSettings);
    }
  }

  /**
   * When a fault happens, and on what.
   *
   * @param kind as the file names it
   * @param firstBackend the first of the backends that it affects, where its kind has any
   * @param factor its size, where its kind has a factor
   * @param ratio its size, where its kind has a share
   */
  public record FaultWindow(
      String kind,
      double fromSecond,
      double untilSecond,
      int firstBackend,
      int backendCount,
      double factor,
      double ratio) {}

  private static final long SECOND_MICROS = 1_000_000;
  private static final long HOUR_MICROS = 3_600 * SECOND_MICROS;
  private final Map<String, RequestClass> requestClasses = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final List<Deployment.Demand> demands = new ArrayList<>();
  private final List<Consumer<Simulation>> faults = new ArrayList<>();
  private final List<FaultWindow> faultWindows = new ArrayList<>();
  private final StringBuilder effectiveSettings = new StringBuilder();
  private final Map<String, String> overrides;
  private final Map<String, String> variables = new LinkedHashMap<>();
  private int gatewayCount = 4;
  private int backendCount = 8;
  private int zoneCount = 1;
  private BackendConfig backend =
      new BackendConfig(4, 20_000, 200, 0.2, 10 * SECOND_MICROS, 2, 2 * SECOND_MICROS);
  private double queueingSlowdown;
  private Deployment.NetworkModel network = new Deployment.NetworkModel(200, 100, 0);
  private Deployment.CounterModel counter = new Deployment.CounterModel(20_000, 50_000, 1, 0, 0);
  private long discoveryDelayMicros = 1_000_000;
  private GatewayLimits limits =
      new GatewayLimits(3, 10_000, 30 * SECOND_MICROS, false, true, false, true, true);
  private ServiceRules rules =
      new ServiceRules(
          10_000,
          2 * SECOND_MICROS,
          0.2,
          10 * SECOND_MICROS,
          2,
          2 * SECOND_MICROS,
          10 * SECOND_MICROS);
  private double durationSeconds = 60;
  private long seed = 1;

  private DeploymentFile(Map<String, String> overrides) {
    super(Set.of("class", "plan", "demand", "trouble", "let"));
    this.overrides = overrides;
    // The keywords of the file format stand here and in FaultLine alone.
    keywords.put("let", this::readVariable);
    keywords.put("gatekeepers", line -> gatewayCount = readInt(line, 1, 10_000));
    keywords.put("workers", this::readBackends);
    keywords.put("network", this::readNetwork);
    keywords.put("counter", this::readCounter);
    keywords.put("roster", line -> discoveryDelayMicros = time(line, HOUR_MICROS));
    keywords.put(
        "for", line -> durationSeconds = time(line, 24 * HOUR_MICROS) / (double) SECOND_MICROS);
    keywords.put("seed", line -> seed = readInt(line, 0, 999_999_999));
    keywords.put("class", this::readRequestClass);
    keywords.put("plan", this::readPlan);
    keywords.put("limits", this::readLimits);
    keywords.put("rules", this::readRules);
    keywords.put("demand", this::readDemand);
    keywords.put("trouble", this::readFault);
  }

  private void readNetwork(ConfigurationLine line) {
    LineArguments a = arguments(line, 0, "network [way TIME] [more TIME] [loss SHARE]");
    network =
        new Deployment.NetworkModel(
            a.micros("way", 1, SECOND_MICROS, 200),
            a.micros("more", 0, SECOND_MICROS, 100),
            a.number("loss", 0, 1, 0));
    a.rejectUnknown();
  }

  private void readCounter(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            0,
            "counter [rate CALLS-A-SECOND] [wait TIME] [parts NUMBER] [turns-away SHARE] [queue TIME]");
    counter =
        new Deployment.CounterModel(
            a.number("rate", 1, 1e9, 20_000),
            a.micros("wait", 1_000, 10 * SECOND_MICROS, 50_000),
            a.integer("parts", 1, 1_000, 1),
            a.number("turns-away", 0, 1, 0),
            a.micros("queue", 0, SECOND_MICROS, 0));
    a.rejectUnknown();
  }

  private void readRequestClass(ConfigurationLine line) {
    LineArguments a = arguments(line, 1, "class NAME aim TIME deadline TIME [ARGUMENT VALUE ...]");
    RequestClass requestClass = PolicyConfigReader.readRequestClass(a);
    if (requestClasses.putIfAbsent(requestClass.name(), requestClass) != null) {
      a.addError("class " + requestClass.name() + " is given twice", "each class once");
    }
    a.rejectUnknown();
  }

  private void readPlan(ConfigurationLine line) {
    LineArguments a = arguments(line, 1, "plan NAME [rate N] [store N] [ARGUMENT VALUE ...]");
    Plan plan = PolicyConfigReader.readPlan(a);
    if (plans.putIfAbsent(plan.name(), plan) != null) {
      a.addError("plan " + plan.name() + " is given twice", "each plan once");
    }
    a.rejectUnknown();
  }

  private void readLimits(ConfigurationLine line) {
    LineArguments a = arguments(line, 0, "limits [ARGUMENT VALUE ...]");
    limits = PolicyConfigReader.readLimits(a);
    a.rejectUnknown();
  }

  private void readRules(ConfigurationLine line) {
    LineArguments a = arguments(line, 0, "rules [ARGUMENT VALUE ...]");
    rules = PolicyConfigReader.readRules(a);
    a.rejectUnknown();
  }

  private long time(ConfigurationLine line, long most) {
    LineArguments a = arguments(line, 1, line.keyword() + " TIME");
    long time = a.parseMicros(line.keyword(), a.positional(0), 0, most, SECOND_MICROS);
    a.rejectUnknown();
    return time;
  }

  private void readBackends(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            1,
            "workers NUMBER [cores N] [work TIME] [queue N] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [thrash SHARE] [zones N]");
    backendCount = a.parseInteger("workers", a.positional(0), 1, 10_000, 1);
    backend =
        new BackendConfig(
            a.integer("cores", 1, 1_000, 4),
            a.micros("work", 1, HOUR_MICROS, 20_000),
            a.integer("queue", 1, 1_000_000, 200),
            a.number("cold-share", 0.01, 1, 0.2),
            a.micros("cold-time", 0, HOUR_MICROS, 10 * SECOND_MICROS),
            a.number("fall-multiple", 1, 1_000, 2),
            a.micros("fall-time", 1_000, HOUR_MICROS, 2 * SECOND_MICROS));
    queueingSlowdown = a.number("thrash", 0, 10, 0);
    zoneCount = a.integer("zones", 1, 1_000, 1);
    a.rejectUnknown();
  }

  private void readDemand(ConfigurationLine line) {
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
            LoadArguments.shape(a),
            a.micros("remaining", 1_000, HOUR_MICROS, 2 * SECOND_MICROS),
            LoadArguments.clientBehavior(a)));
    a.rejectUnknown();
    crossCheck(
        a,
        () -> requestClasses.containsKey(type),
        "there is no class '" + type + "'",
        "the name of a class line");
    crossCheck(
        a,
        () -> plans.containsKey(plan),
        "there is no plan '" + plan + "'",
        "the name of a plan line");
  }

  /**
   * Takes a variable, whose value replaces {@code $NAME} in later lines, unless the caller gave
   * another value.
   */
  private void readVariable(ConfigurationLine line) {
    LineArguments a = arguments(line, 2, "let NAME VALUE");
    if (a.isValid() && !a.positional(0).matches("[a-z][a-z0-9-]*")) {
      a.addError("the name '" + a.positional(0) + "'", "small letters, digits and -");
    }
    variables.put(a.positional(0), overrides.getOrDefault(a.positional(0), a.positional(1)));
    a.rejectUnknown();
  }

  @Override
  protected ConfigurationLine prepare(ConfigurationLine line) {
    List<String> words = line.words();
    if (line.keyword().equals("when")) {
      if (!holds(line)) {
        return null;
      }
      words = words.subList(3, words.size());
    }
    List<String> expanded = expand(line, words);
    if (expanded == null) {
      return null;
    }
    if (!expanded.get(0).equals("let")) {
      effectiveSettings.append(String.join(" ", expanded)).append('\n');
    }
    return new ConfigurationLine(line.file(), line.number(), expanded);
  }

  /** Whether the condition of a {@code when} line holds; an error in it counts as no. */
  private boolean holds(ConfigurationLine line) {
    List<String> words = line.words();
    boolean isComplete = words.size() > 3;
    String name = isComplete ? words.get(1) : "";
    if (!variables.containsKey(name)) {
      addError(
          line,
          isComplete
              ? "there is no variable '" + name + "'"
              : "when has " + (words.size() - 1) + " arguments",
          "when NAME VALUE|VALUE LINE, after let NAME VALUE");
      return false;
    }
    return List.of(words.get(2).split("\\|", 0)).contains(variables.get(name));
  }

  /** The words with variables replaced by their values, or null after an error. */
  private List<String> expand(ConfigurationLine line, List<String> words) {
    List<String> expanded = new ArrayList<>();
    for (String word : words) {
      String name = word.startsWith("$") ? word.substring(1) : null;
      if (name != null && !variables.containsKey(name)) {
        addError(line, "there is no variable '" + word + "'", "let " + name + " VALUE before it");
        return null;
      }
      expanded.add(name == null ? word : variables.get(name));
    }
    return expanded;
  }

  private void readFault(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 1, "trouble KIND from TIME [until TIME] [ARGUMENT VALUE ...]");
    FaultLine read = FaultLine.read(a);
    int last = read.window().firstBackend() + read.window().backendCount() - 1;
    crossCheck(
        a,
        () -> last < backendCount,
        "there is no worker " + last,
        "a number below " + backendCount);
    crossCheck(
        a,
        () -> read.gatewayCount() <= gatewayCount,
        "there are not " + read.gatewayCount() + " gatekeepers",
        "at most " + gatewayCount);
    crossCheck(
        a,
        () -> read.counterPartition() < counter.partitionCount(),
        "the counter has no part " + read.counterPartition(),
        "a number below " + counter.partitionCount());
    crossCheck(
        a,
        () -> read.zone() < zoneCount,
        "there is no zone " + read.zone(),
        "a number below " + zoneCount);
    crossCheck(
        a,
        () ->
            read.demand().isEmpty()
                || demands.stream().anyMatch(d -> d.name().equals(read.demand())),
        "there is no demand '" + read.demand() + "'",
        "the name of a demand line");
    faults.add(read.fault());
    faultWindows.add(read.window());
    a.rejectUnknown();
  }

  /**
   * Reads a deployment file and all that it includes.
   *
   * @throws ConfigurationException with every error in the file, when there is any
   */
  public static ParsedDeployment read(Path file) throws ConfigurationException {
    return read(file, Map.of());
  }

  /**
   * Reads a deployment file with other values of its variables.
   *
   * @param overrides by name; each must have a {@code let} line
   */
  public static ParsedDeployment read(Path file, Map<String, String> overrides)
      throws ConfigurationException {
    DeploymentFile f = new DeploymentFile(overrides);
    f.readLines(file);
    overrides
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
    return new ParsedDeployment(
        new Deployment(
            f.gatewayCount,
            f.backendCount,
            f.zoneCount,
            f.backend,
            f.queueingSlowdown,
            f.network,
            f.counter,
            f.discoveryDelayMicros,
            List.copyOf(f.requestClasses.values()),
            List.copyOf(f.plans.values()),
            f.limits,
            f.rules,
            List.copyOf(f.demands),
            f.durationSeconds,
            f.seed),
        List.copyOf(f.faults),
        List.copyOf(f.faultWindows),
        f.effectiveSettings.toString());
  }
}
