package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.settings.GatewaySettings.ApiKey;
import fawndock.settings.GatewaySettings.Route;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads a gateway's settings file. The constructor lists every keyword with its syntax;
 * docs/operations.md describes what each means. Not thread-safe.
 */
public final class GatewaySettingsFile extends ConfigurationFile {
  static final long MAX_TIME_MICROS = PolicyConfigReader.MAX_TIME_MICROS;
  static final double MAX_AMOUNT = PolicyConfigReader.MAX_AMOUNT;

  private static final Set<String> REPEATABLE =
      Set.of("descriptor", "class", "plan", "key", "route", "peer", "server", "counter-node");

  private Address listen;
  private int instances = 1;
  private int firstInstance;
  private int fleetSize = 1;
  private long seed = 1;
  private String zone = "";
  private final Map<String, RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final Map<String, ApiKey> apiKeys = new LinkedHashMap<>();
  private final List<Route> routes = new ArrayList<>();
  private GatewayLimits limits =
      new GatewayLimits(3, 10_000, 30_000_000, false, true, false, true, true);
  private ServiceRules rules =
      new ServiceRules(10_000, 2_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000);
  private LogSettings log = LogSettings.DEFAULT;
  private final CounterSection counter = new CounterSection(this);
  private final DiscoverySection discovery = new DiscoverySection();
  private final PeerSection peers = new PeerSection(this);
  private final HttpSection http = new HttpSection();
  private final RateLimitSection rateLimit = new RateLimitSection(this);

  private GatewaySettingsFile() {
    super(REPEATABLE);
    addressKeyword("listen", address -> listen = address);
    integerKeyword("instances", 1, 64, number -> instances = number);
    keyword("gatekeeper", 1, "gatekeeper NUMBER of FLEET", this::readInstanceIndex);
    integerKeyword("seed", 0, 999_999_999, number -> seed = number);
    wordKeyword("zone", "NAME", name -> zone = name);
    registerPolicyKeywords();
    registerConnectionKeywords();
    logKeyword(settings -> log = settings);
    keyword("rate-limit", 1, "rate-limit HOST:PORT", rateLimit::readListen);
    keyword(
        "descriptor",
        2,
        "descriptor DOMAIN KEY=VALUE,KEY=* customer NAME|{KEY} plan NAME class NAME [units N]",
        rateLimit::readDescriptor);
  }

  private void registerPolicyKeywords() {
    keyword(
        "class",
        1,
        "class NAME aim TIME deadline TIME [worth N] [late-worth N] [repeat WORD] "
            + "[group WORD] [window TIME] [streamed yes|no] [aim-stretch N]",
        this::readRequestClass);
    keyword(
        "plan",
        1,
        "plan NAME [rate N] [store N] [open N] [pays N] [over-worth N] [over-cost N] "
            + "[ceiling-rate N] [ceiling-burst N] [ceiling-slack N]",
        this::readPlan);
    keyword(
        "key", 1, "key KEY customer NAME plan NAME [first NUMBER spread NUMBER]", this::readApiKey);
    keyword("route", 3, "route METHOD PATH CLASS", this::readRoute);
    keyword(
        "server",
        2,
        "server ID HOST:PORT [zone NAME] [cell NUMBER] [weight N]",
        discovery::readStaticEndpoint);
    keyword(
        "limits",
        0,
        "limits [attempts N] [open N] [retry-after TIME] [duplicates yes|no] "
            + "[cancel yes|no] [probes yes|no] [peers yes|no]",
        arguments -> limits = PolicyConfigReader.readLimits(arguments));
    keyword(
        "rules",
        0,
        "rules [answer-grace TIME] [drain-grace TIME] [cold-share N] [cold-time TIME] "
            + "[fall-multiple N] [fall-time TIME] [ask-within TIME]",
        arguments -> rules = PolicyConfigReader.readRules(arguments));
  }

  private void registerConnectionKeywords() {
    keywords.put("counter", counter::readShards);
    keyword("counter-node", 2, "counter-node NAME HOST:PORT", counter::readClusterNode);
    keyword(
        "counter-limits",
        0,
        "counter-limits [timeout TIME] [calls NUMBER] [settled yes|no]",
        counter::readLimits);
    keyword("roster", 1, "roster HOST:PORT [silence TIME] [must-ask yes|no]", discovery::readWatch);
    keyword("peer", 2, "peer NUMBER HOST:PORT", peers::readPeer);
    keyword(
        "peer-listen", 1, "peer-listen HOST:PORT [intake MESSAGES-A-SECOND]", peers::readListen);
    keyword(
        "headers",
        0,
        "headers [key NAME] [deadline NAME] [attempt NAME] [units NAME most NUMBER]",
        http::readHeaderNames);
    keyword("sizes", 0, "sizes [body SIZE] [answer SIZE]", http::readSizes);
    keyword("pool", 0, "pool [connections NUMBER] [streams NUMBER] [connect TIME]", http::readPool);
    timeKeyword("stop", 0, MAX_TIME_MICROS, micros -> http.drainTimeoutMicros = micros);
    integerKeyword("max-connections", 1, 1_000_000, number -> http.maxClientConnections = number);
  }

  /**
   * Reads a settings file and the files that it includes.
   *
   * @throws ConfigurationException with every error found, if there is any
   */
  public static GatewaySettings read(Path file) throws ConfigurationException {
    return new GatewaySettingsFile().readAll(file);
  }

  private GatewaySettings readAll(Path file) throws ConfigurationException {
    readLines(file);
    addFileErrorIf(listen == null, "no listen", "listen HOST:PORT");
    addFileErrorIf(classes.isEmpty(), "no class", "class NAME aim TIME deadline TIME");
    addFileErrorIf(routes.isEmpty(), "no route", "route METHOD PATH CLASS");
    addFileErrorIf(
        discovery.isEmpty(), "no roster and no server", "roster HOST:PORT, or server lines");
    throwIfErrors();
    List<Route> longestFirst = new ArrayList<>(routes);
    longestFirst.sort((first, second) -> second.prefix().length() - first.prefix().length());
    return new GatewaySettings(
        listen,
        instances,
        firstInstance,
        fleetSize,
        seed,
        zone,
        List.copyOf(classes.values()),
        List.copyOf(plans.values()),
        Map.copyOf(apiKeys),
        List.copyOf(longestFirst),
        limits,
        rules,
        counter.settings(),
        discovery.settings(),
        peers.settings(),
        http.settings(),
        log,
        rateLimit.settings());
  }

  /** Returns the number of gateway instances in the fleet, according to the lines read so far. */
  int fleetSize() {
    return fleetSize;
  }

  /** Adds an error to a line unless the plan is defined once all lines are read. */
  void crossCheckPlan(LineArguments line, String plan) {
    crossCheck(
        line,
        () -> plans.containsKey(plan),
        "there is no plan '" + plan + "'",
        "the name of a plan line");
  }

  /** Adds an error to a line unless the request class is defined once all lines are read. */
  void crossCheckRequestClass(LineArguments line, String requestClass) {
    crossCheck(
        line,
        () -> classes.containsKey(requestClass),
        "there is no class '" + requestClass + "'",
        "the name of a class line");
  }

  private void readInstanceIndex(LineArguments arguments) {
    firstInstance = arguments.parseInteger("gatekeeper", arguments.positional(0), 0, 9_999, 0);
    fleetSize = arguments.integer("of", 1, 10_000, 1);
    crossCheck(
        arguments,
        () -> firstInstance + instances <= fleetSize,
        "gatekeepers "
            + firstInstance
            + " to "
            + (firstInstance + instances - 1)
            + " are not all below the fleet's "
            + fleetSize,
        "NUMBER + instances at most FLEET");
  }

  private void readRequestClass(LineArguments arguments) {
    RequestClass requestClass = PolicyConfigReader.readRequestClass(arguments);
    if (classes.putIfAbsent(requestClass.name(), requestClass) != null) {
      arguments.addError("class " + requestClass.name() + " is given twice", "each class once");
    }
  }

  private void readPlan(LineArguments arguments) {
    Plan plan = PolicyConfigReader.readPlan(arguments);
    if (plans.putIfAbsent(plan.name(), plan) != null) {
      arguments.addError("plan " + plan.name() + " is given twice", "each plan once");
    }
  }

  private void readApiKey(LineArguments arguments) {
    ApiKey key =
        new ApiKey(
            arguments.word("customer", ""),
            arguments.word("plan", ""),
            arguments.integer("first", 0, 9_999, 0),
            arguments.integer("spread", 0, 10_000, 0));
    if (arguments.isValid() && (key.customer().isEmpty() || key.plan().isEmpty())) {
      arguments.addError("a key without customer or plan", "key KEY customer NAME plan NAME");
    }
    if (apiKeys.putIfAbsent(arguments.positional(0), key) != null) {
      arguments.addError("this key is given twice", "each key once");
    }
    if (!key.plan().isEmpty()) {
      crossCheckPlan(arguments, key.plan());
    }
    crossCheck(
        arguments,
        () -> key.customerInstanceCount() <= fleetSize && key.customerFirstInstance() < fleetSize,
        "a spread beyond the fleet's " + fleetSize + " gatekeepers",
        "first below it, spread at most it");
  }

  private void readRoute(LineArguments arguments) {
    Route route =
        new Route(arguments.positional(0), arguments.positional(1), arguments.positional(2));
    if (arguments.isValid() && !route.prefix().startsWith("/")) {
      arguments.addError("path '" + route.prefix() + "'", "a path that starts with /");
    }
    if (arguments.isValid() && !route.method().matches("\\*|[A-Z]+")) {
      arguments.addError("method '" + route.method() + "'", "a method in capitals, or *");
    }
    if (routes.stream()
        .anyMatch(r -> r.method().equals(route.method()) && r.prefix().equals(route.prefix()))) {
      arguments.addError(
          "route " + route.method() + " " + route.prefix() + " is given twice", "each route once");
    }
    routes.add(route);
    if (!route.requestClass().isEmpty()) {
      crossCheckRequestClass(arguments, route.requestClass());
    }
  }
}
