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
 * Reads a deployment file, which describes the deployment to simulate and its faults. The meaning
 * of each keyword is in docs/operations/emulate.md.
 */
public final class DeploymentFile extends ConfigurationFile {
  /**
   * The content of a deployment file.
   *
   * @param faults actions that schedule the faults in a simulation, in the order of the file
   * @param faultWindows the time and target of each fault, in the same order
   * @param effectiveSettings all lines that apply, with variables replaced by their values
   */
  public record ParsedDeployment(
      Deployment deployment,
      List<Consumer<Simulation>> faults,
      List<FaultWindow> faultWindows,
      String effectiveSettings) {
    /** Returns a new simulation of the deployment, with its faults scheduled. */
    public Simulation createSimulation(Function<PolicyConfig, GatewayPolicy> policyFactory) {
      Simulation simulation = new Simulation(deployment, policyFactory);
      faults.forEach(fault -> fault.accept(simulation));
      return simulation;
    }

    /** Returns the same deployment with another seed. */
    public ParsedDeployment withSeed(long seed) {
      Deployment original = deployment;
      return new ParsedDeployment(
          new Deployment(
              original.gatewayCount(),
              original.backendCount(),
              original.zoneCount(),
              original.backend(),
              original.queueingSlowdown(),
              original.network(),
              original.counter(),
              original.discoveryDelayMicros(),
              original.requestClasses(),
              original.plans(),
              original.limits(),
              original.rules(),
              original.demands(),
              original.durationSeconds(),
              seed),
          faults,
          faultWindows,
          effectiveSettings);
    }
  }

  /**
   * The time and the target of a fault. The component names are property names in the results of
   * experiments.
   *
   * @param kind keyword of the fault in the file
   * @param firstBackend index of the first affected backend, for faults of backends
   * @param factor severity of faults that are specified by a factor
   * @param ratio severity of faults that are specified by a share
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
    // All keywords of the file format are here and in FaultLine.
    keywords.put("let", this::readVariable);
    keywords.put("gatekeepers", line -> gatewayCount = readInt(line, 1, 10_000));
    keywords.put("workers", this::readBackends);
    keywords.put("network", this::readNetwork);
    keywords.put("counter", this::readCounter);
    keywords.put("roster", line -> discoveryDelayMicros = readTime(line, HOUR_MICROS));
    keywords.put(
        "for", line -> durationSeconds = readTime(line, 24 * HOUR_MICROS) / (double) SECOND_MICROS);
    keywords.put("seed", line -> seed = readInt(line, 0, 999_999_999));
    keywords.put("class", this::readRequestClass);
    keywords.put("plan", this::readPlan);
    keywords.put("limits", this::readLimits);
    keywords.put("rules", this::readRules);
    keywords.put("demand", this::readDemand);
    keywords.put("trouble", this::readFault);
  }

  private void readNetwork(ConfigurationLine line) {
    LineArguments args = arguments(line, 0, "network [way TIME] [more TIME] [loss SHARE]");
    network =
        new Deployment.NetworkModel(
            args.micros("way", 1, SECOND_MICROS, 200),
            args.micros("more", 0, SECOND_MICROS, 100),
            args.number("loss", 0, 1, 0));
    args.rejectUnknown();
  }

  private void readCounter(ConfigurationLine line) {
    LineArguments args =
        arguments(
            line,
            0,
            "counter [rate CALLS-A-SECOND] [wait TIME] [parts NUMBER] [turns-away SHARE] [queue TIME]");
    counter =
        new Deployment.CounterModel(
            args.number("rate", 1, 1e9, 20_000),
            args.micros("wait", 1_000, 10 * SECOND_MICROS, 50_000),
            args.integer("parts", 1, 1_000, 1),
            args.number("turns-away", 0, 1, 0),
            args.micros("queue", 0, SECOND_MICROS, 0));
    args.rejectUnknown();
  }

  private void readRequestClass(ConfigurationLine line) {
    LineArguments args =
        arguments(line, 1, "class NAME aim TIME deadline TIME [ARGUMENT VALUE ...]");
    RequestClass requestClass = PolicyConfigReader.readRequestClass(args);
    if (requestClasses.putIfAbsent(requestClass.name(), requestClass) != null) {
      args.addError("class " + requestClass.name() + " is given twice", "each class once");
    }
    args.rejectUnknown();
  }

  private void readPlan(ConfigurationLine line) {
    LineArguments args = arguments(line, 1, "plan NAME [rate N] [store N] [ARGUMENT VALUE ...]");
    Plan plan = PolicyConfigReader.readPlan(args);
    if (plans.putIfAbsent(plan.name(), plan) != null) {
      args.addError("plan " + plan.name() + " is given twice", "each plan once");
    }
    args.rejectUnknown();
  }

  private void readLimits(ConfigurationLine line) {
    LineArguments args = arguments(line, 0, "limits [ARGUMENT VALUE ...]");
    limits = PolicyConfigReader.readLimits(args);
    args.rejectUnknown();
  }

  private void readRules(ConfigurationLine line) {
    LineArguments args = arguments(line, 0, "rules [ARGUMENT VALUE ...]");
    rules = PolicyConfigReader.readRules(args);
    args.rejectUnknown();
  }

  private long readTime(ConfigurationLine line, long maxMicros) {
    LineArguments args = arguments(line, 1, line.keyword() + " TIME");
    long micros = args.parseMicros(line.keyword(), args.positional(0), 0, maxMicros, SECOND_MICROS);
    args.rejectUnknown();
    return micros;
  }

  private void readBackends(ConfigurationLine line) {
    LineArguments args =
        arguments(
            line,
            1,
            "workers NUMBER [cores N] [work TIME] [queue N] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [thrash SHARE] [zones N]");
    backendCount = args.parseInteger("workers", args.positional(0), 1, 10_000, 1);
    backend =
        new BackendConfig(
            args.integer("cores", 1, 1_000, 4),
            args.micros("work", 1, HOUR_MICROS, 20_000),
            args.integer("queue", 1, 1_000_000, 200),
            args.number("cold-share", 0.01, 1, 0.2),
            args.micros("cold-time", 0, HOUR_MICROS, 10 * SECOND_MICROS),
            args.number("fall-multiple", 1, 1_000, 2),
            args.micros("fall-time", 1_000, HOUR_MICROS, 2 * SECOND_MICROS));
    queueingSlowdown = args.number("thrash", 0, 10, 0);
    zoneCount = args.integer("zones", 1, 1_000, 1);
    args.rejectUnknown();
  }

  private void readDemand(ConfigurationLine line) {
    LineArguments args =
        arguments(line, 1, "demand NAME class NAME plan NAME rate NUMBER [ARGUMENT VALUE ...]");
    String requestClass = args.word("class", "");
    String plan = args.word("plan", "");
    double rate = args.number("rate", 0.001, 1_000_000, 0);
    if (args.isValid() && rate == 0) {
      args.addError("demand " + args.positional(0) + " has no rate", "rate NUMBER");
    }
    double ratePerCustomer = args.number("each", 0.001, 1_000_000, 0);
    int customers = args.integer("customers", 1, 1_000_000, 1);
    if (ratePerCustomer > 0) {
      customers = (int) Math.max(1, Math.min(1_000_000, Math.round(rate / ratePerCustomer)));
      rate = customers * ratePerCustomer;
    }
    demands.add(
        new Deployment.Demand(
            args.positional(0),
            requestClass,
            plan,
            customers,
            args.number("skew", 0, 10, 0),
            args.integer("spread", 1, 10_000, 10_000),
            rate,
            LoadArguments.shape(args),
            args.micros("remaining", 1_000, HOUR_MICROS, 2 * SECOND_MICROS),
            LoadArguments.clientBehavior(args)));
    args.rejectUnknown();
    crossCheck(
        args,
        () -> requestClasses.containsKey(requestClass),
        "there is no class '" + requestClass + "'",
        "the name of a class line");
    crossCheck(
        args,
        () -> plans.containsKey(plan),
        "there is no plan '" + plan + "'",
        "the name of a plan line");
  }

  /**
   * Reads the declaration of a variable. Its value, or the value in the overrides when there is
   * one, replaces {@code $NAME} in later lines.
   */
  private void readVariable(ConfigurationLine line) {
    LineArguments args = arguments(line, 2, "let NAME VALUE");
    if (args.isValid() && !args.positional(0).matches("[a-z][a-z0-9-]*")) {
      args.addError("the name '" + args.positional(0) + "'", "small letters, digits and -");
    }
    variables.put(
        args.positional(0), overrides.getOrDefault(args.positional(0), args.positional(1)));
    args.rejectUnknown();
  }

  @Override
  protected ConfigurationLine prepare(ConfigurationLine line) {
    List<String> words = line.words();
    if (line.keyword().equals("when")) {
      if (!isConditionMet(line)) {
        return null;
      }
      words = words.subList(3, words.size());
    }
    List<String> expanded = expandVariables(line, words);
    if (expanded == null) {
      return null;
    }
    if (!expanded.get(0).equals("let")) {
      effectiveSettings.append(String.join(" ", expanded)).append('\n');
    }
    return new ConfigurationLine(line.file(), line.number(), expanded);
  }

  /** Returns whether the condition of a {@code when} line is met; false after an error. */
  private boolean isConditionMet(ConfigurationLine line) {
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

  /** Replaces variables by their values; returns null after an error. */
  private List<String> expandVariables(ConfigurationLine line, List<String> words) {
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
    LineArguments args =
        arguments(line, 1, "trouble KIND from TIME [until TIME] [ARGUMENT VALUE ...]");
    FaultLine faultLine = FaultLine.read(args);
    int lastBackend = faultLine.window().firstBackend() + faultLine.window().backendCount() - 1;
    crossCheck(
        args,
        () -> lastBackend < backendCount,
        "there is no worker " + lastBackend,
        "a number below " + backendCount);
    crossCheck(
        args,
        () -> faultLine.gatewayCount() <= gatewayCount,
        "there are fewer than " + faultLine.gatewayCount() + " gatekeepers",
        "at most " + gatewayCount);
    crossCheck(
        args,
        () -> faultLine.counterPartition() < counter.partitionCount(),
        "the counter has no part " + faultLine.counterPartition(),
        "a number below " + counter.partitionCount());
    crossCheck(
        args,
        () -> faultLine.zone() < zoneCount,
        "there is no zone " + faultLine.zone(),
        "a number below " + zoneCount);
    crossCheck(
        args,
        () ->
            faultLine.demand().isEmpty()
                || demands.stream().anyMatch(demand -> demand.name().equals(faultLine.demand())),
        "there is no demand '" + faultLine.demand() + "'",
        "the name of a demand line");
    faults.add(faultLine.fault());
    faultWindows.add(faultLine.window());
    args.rejectUnknown();
  }

  /**
   * Reads a deployment file and the files that it includes.
   *
   * @throws ConfigurationException with every error in the files, when there is any
   */
  public static ParsedDeployment read(Path file) throws ConfigurationException {
    return read(file, Map.of());
  }

  /**
   * Reads a deployment file with overridden values of its variables.
   *
   * @param overrides values by variable name; the file must declare each of them in a {@code let}
   *     line
   */
  public static ParsedDeployment read(Path file, Map<String, String> overrides)
      throws ConfigurationException {
    DeploymentFile reader = new DeploymentFile(overrides);
    reader.readLines(file);
    overrides
        .keySet()
        .forEach(
            name ->
                reader.addFileErrorIf(
                    !reader.variables.containsKey(name),
                    "no variable '" + name + "'",
                    "let " + name + " VALUE"));
    reader.addFileErrorIf(
        reader.demands.isEmpty(), "no demand", "demand NAME class NAME plan NAME rate NUMBER");
    reader.throwIfErrors();
    return new ParsedDeployment(
        new Deployment(
            reader.gatewayCount,
            reader.backendCount,
            reader.zoneCount,
            reader.backend,
            reader.queueingSlowdown,
            reader.network,
            reader.counter,
            reader.discoveryDelayMicros,
            List.copyOf(reader.requestClasses.values()),
            List.copyOf(reader.plans.values()),
            reader.limits,
            reader.rules,
            List.copyOf(reader.demands),
            reader.durationSeconds,
            reader.seed),
        List.copyOf(reader.faults),
        List.copyOf(reader.faultWindows),
        reader.effectiveSettings.toString());
  }
}
