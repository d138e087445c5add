package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.settings.GatewaySettings.ApiKey;
import fawndock.settings.GatewaySettings.CounterService;
import fawndock.settings.GatewaySettings.Descriptor;
import fawndock.settings.GatewaySettings.EndpointDiscovery;
import fawndock.settings.GatewaySettings.Http;
import fawndock.settings.GatewaySettings.Log;
import fawndock.settings.GatewaySettings.Peers;
import fawndock.settings.GatewaySettings.RateLimit;
import fawndock.settings.GatewaySettings.Route;
import fawndock.settings.GatewaySettings.StaticEndpoint;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads the daemon's settings. Every keyword that may stand in a file is in {@link #keywords}; what
 * each means is in the operators' manual.
 */
public final class GatewaySettingsFile extends ConfigurationFile {
  private static final long MAX_TIME_MICROS = PolicyConfigReader.MAX_TIME_MICROS;
  private static final double MAX_AMOUNT = PolicyConfigReader.MAX_AMOUNT;
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
  private final Map<String, StaticEndpoint> staticEndpoints = new LinkedHashMap<>();
  private final Map<Integer, Address> peers = new TreeMap<>();
  private Address peerListen;
  private int maxPeerMessagesPerSecond = 100;
  private GatewayLimits limits =
      new GatewayLimits(3, 10_000, 30_000_000, false, true, false, true, true);
  private ServiceRules rules =
      new ServiceRules(10_000, 2_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000);
  private CounterService counter = new CounterService(List.of(), Map.of(), 50_000, false, 4096);
  private final Map<String, Address> counterNodes = new TreeMap<>();
  private Address discoveryAddress;
  private long watchIdleTimeoutMicros = 5_000_000;
  private boolean isPolicyStarted;
  private String keyHeader = "x-api-key";
  private String deadlineHeader = "x-envoy-expected-rq-timeout-ms";
  private String attemptHeader = "x-envoy-attempt-count";
  private String unitsHeader = "";
  private double maxUnits = 1;
  private int maxRequestBodyBytes = 64 << 10;
  private int maxBufferedResponseBytes = 1 << 20;
  private int connectionsPerEndpoint = 2;
  private int streamsPerConnection = 250;
  private long connectTimeoutMicros = 1_000_000;
  private long drainTimeoutMicros = 30_000_000;
  private int maxConnections = 20_000;
  private Log log = new Log(false, "info");
  private Address rateLimit;
  private final List<Descriptor> descriptors = new ArrayList<>();

  private GatewaySettingsFile() {
    super(REPEATABLE);
    keywords.put(
        "listen",
        line -> {
          LineArguments a = arguments(line, 1, "listen HOST:PORT");
          listen = a.address(0);
          a.rejectUnknown();
        });
    keywords.put(
        "instances",
        line -> {
          LineArguments a = arguments(line, 1, "instances NUMBER");
          instances = a.parseInteger("instances", a.word(0), 1, 64, 1);
          a.rejectUnknown();
        });
    keywords.put(
        "gatekeeper",
        line -> {
          LineArguments a = arguments(line, 1, "gatekeeper NUMBER of FLEET");
          firstInstance = a.parseInteger("gatekeeper", a.word(0), 0, 9_999, 0);
          fleetSize = a.integer("of", 1, 10_000, 1);
          a.rejectUnknown();
          crossCheck(
              a,
              () -> firstInstance + instances <= fleetSize,
              "gatekeepers "
                  + firstInstance
                  + " to "
                  + (firstInstance + instances - 1)
                  + " are not all below the fleet's "
                  + fleetSize,
              "NUMBER + instances at most FLEET");
        });
    keywords.put(
        "seed",
        line -> {
          LineArguments a = arguments(line, 1, "seed NUMBER");
          seed = a.parseInteger("seed", a.word(0), 0, 999_999_999, 1);
          a.rejectUnknown();
        });
    keywords.put(
        "zone",
        line -> {
          LineArguments a = arguments(line, 1, "zone NAME");
          zone = a.word(0);
          a.rejectUnknown();
        });
    keywords.put("class", this::requestClass);
    keywords.put("plan", this::plan);
    keywords.put("key", this::key);
    keywords.put("route", this::route);
    keywords.put("server", this::server);
    keywords.put("limits", this::limits);
    keywords.put("rules", this::rules);
    keywords.put("counter", this::counter);
    keywords.put(
        "counter-node",
        line -> {
          LineArguments a = arguments(line, 2, "counter-node NAME HOST:PORT");
          Address address = a.address(1);
          if (counterNodes.putIfAbsent(a.word(0), address) != null) {
            a.addError("counter-node " + a.word(0) + " is given twice", "each node once");
          }
          a.rejectUnknown();
        });
    keywords.put("counter-limits", this::counterLimits);
    keywords.put(
        "roster",
        line -> {
          LineArguments a = arguments(line, 1, "roster HOST:PORT [silence TIME] [must-ask yes|no]");
          discoveryAddress = a.isValid() ? a.parseAddress(a.word(0)) : null;
          watchIdleTimeoutMicros = a.micros("silence", 100_000, MAX_TIME_MICROS, 5_000_000);
          isPolicyStarted = a.flag("must-ask", false);
          a.rejectUnknown();
        });
    keywords.put(
        "peer",
        line -> {
          LineArguments a = arguments(line, 2, "peer NUMBER HOST:PORT");
          int number = a.parseInteger("peer", a.word(0), 0, 9_999, 0);
          if (a.isValid() && peers.put(number, a.parseAddress(a.word(1))) != null) {
            a.addError("peer " + number + " is given twice", "each peer once");
          }
          a.rejectUnknown();
          crossCheck(
              a,
              () -> number < fleetSize,
              "peer " + number + " is not in a fleet of " + fleetSize,
              "a number below the fleet's size");
        });
    keywords.put(
        "peer-listen",
        line -> {
          LineArguments a = arguments(line, 1, "peer-listen HOST:PORT [intake MESSAGES-A-SECOND]");
          peerListen = a.isValid() ? a.parseAddress(a.word(0)) : null;
          maxPeerMessagesPerSecond = a.integer("intake", 1, 100_000, 100);
          a.rejectUnknown();
        });
    keywords.put(
        "headers",
        line -> {
          LineArguments a =
              arguments(
                  line,
                  0,
                  "headers [key NAME] [deadline NAME] [attempt NAME] [units NAME most NUMBER]");
          keyHeader = header(a, "key", keyHeader);
          deadlineHeader = header(a, "deadline", deadlineHeader);
          attemptHeader = header(a, "attempt", attemptHeader);
          unitsHeader = header(a, "units", "");
          maxUnits = a.number("most", 1e-6, MAX_AMOUNT, 1);
          a.rejectUnknown();
        });
    keywords.put(
        "sizes",
        line -> {
          LineArguments a = arguments(line, 0, "sizes [body SIZE] [answer SIZE]");
          maxRequestBodyBytes = (int) a.parseBytes("body", a.word("body", "64KiB"), 64 << 20);
          maxBufferedResponseBytes =
              (int) a.parseBytes("answer", a.word("answer", "1MiB"), 64 << 20);
          a.rejectUnknown();
        });
    keywords.put(
        "pool",
        line -> {
          LineArguments a =
              arguments(line, 0, "pool [connections NUMBER] [streams NUMBER] [connect TIME]");
          connectionsPerEndpoint = a.integer("connections", 1, 1_000, 2);
          streamsPerConnection = a.integer("streams", 1, 100_000, 250);
          connectTimeoutMicros = a.micros("connect", 1_000, 60_000_000, 1_000_000);
          a.rejectUnknown();
        });
    keywords.put(
        "stop",
        line -> {
          LineArguments a = arguments(line, 1, "stop TIME");
          drainTimeoutMicros = a.parseMicros("stop", a.word(0), 0, MAX_TIME_MICROS, 30_000_000);
          a.rejectUnknown();
        });
    keywords.put(
        "max-connections",
        line -> {
          LineArguments a = arguments(line, 1, "max-connections NUMBER");
          maxConnections = a.parseInteger("max-connections", a.word(0), 1, 1_000_000, 20_000);
          a.rejectUnknown();
        });
    keywords.put("log", line -> log = readLog(line));
    keywords.put(
        "rate-limit",
        line -> {
          LineArguments a = arguments(line, 1, "rate-limit HOST:PORT");
          rateLimit = a.isValid() ? a.parseAddress(a.word(0)) : null;
          a.rejectUnknown();
        });
    keywords.put("descriptor", this::descriptor);
  }

  /**
   * Reads a settings file and all that it includes.
   *
   * @throws ConfigurationException with every mistake when there is any
   */
  public static GatewaySettings read(Path file) throws ConfigurationException {
    return new GatewaySettingsFile().all(file);
  }

  private GatewaySettings all(Path file) throws ConfigurationException {
    readLines(file);
    addFileErrorIf(listen == null, "no listen", "listen HOST:PORT");
    addFileErrorIf(classes.isEmpty(), "no class", "class NAME aim TIME deadline TIME");
    addFileErrorIf(routes.isEmpty(), "no route", "route METHOD PATH CLASS");
    addFileErrorIf(
        discoveryAddress == null && staticEndpoints.isEmpty(),
        "no roster and no server",
        "roster HOST:PORT, or server lines");
    throwIfErrors();
    List<Route> longestFirst = new ArrayList<>(routes);
    longestFirst.sort((a, b) -> b.prefix().length() - a.prefix().length());
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
        new CounterService(
            counter.shards(),
            new TreeMap<>(counterNodes),
            counter.timeoutMicros(),
            counter.settlesUnits(),
            counter.maxCallsInFlight()),
        new EndpointDiscovery(
            discoveryAddress,
            watchIdleTimeoutMicros,
            isPolicyStarted,
            List.copyOf(staticEndpoints.values())),
        new Peers(peerListen, Map.copyOf(peers), maxPeerMessagesPerSecond),
        new Http(
            keyHeader,
            deadlineHeader,
            attemptHeader,
            unitsHeader,
            maxUnits,
            maxRequestBodyBytes,
            maxBufferedResponseBytes,
            connectionsPerEndpoint,
            streamsPerConnection,
            connectTimeoutMicros,
            drainTimeoutMicros,
            maxConnections),
        log,
        new RateLimit(rateLimit, List.copyOf(descriptors)));
  }

  private String header(LineArguments a, String what, String otherwise) {
    String name = a.word(what, otherwise);
    if (!name.isEmpty() && !name.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")) {
      a.addError("'" + name + "' cannot be a header field's name", "letters, digits and -");
    }
    return name;
  }

  private void requestClass(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            1,
            "class NAME aim TIME deadline TIME [worth N] [late-worth N] [repeat WORD] "
                + "[group WORD] [window TIME] [streamed yes|no] [aim-stretch N]");
    RequestClass c = PolicyConfigReader.readRequestClass(a);
    if (classes.putIfAbsent(c.name(), c) != null) {
      a.addError("class " + c.name() + " is given twice", "each class once");
    }
    a.rejectUnknown();
  }

  private void plan(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            1,
            "plan NAME [rate N] [store N] [open N] [pays N] [over-worth N] [over-cost N] "
                + "[ceiling-rate N] [ceiling-burst N] [ceiling-slack N]");
    Plan p = PolicyConfigReader.readPlan(a);
    if (plans.putIfAbsent(p.name(), p) != null) {
      a.addError("plan " + p.name() + " is given twice", "each plan once");
    }
    a.rejectUnknown();
  }

  private void key(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 1, "key KEY customer NAME plan NAME [first NUMBER spread NUMBER]");
    ApiKey key =
        new ApiKey(
            a.word("customer", ""),
            a.word("plan", ""),
            a.integer("first", 0, 9_999, 0),
            a.integer("spread", 0, 10_000, 0));
    if (a.isValid() && (key.customer().isEmpty() || key.plan().isEmpty())) {
      a.addError("a key without customer or plan", "key KEY customer NAME plan NAME");
    }
    if (apiKeys.putIfAbsent(a.word(0), key) != null) {
      a.addError("this key is given twice", "each key once");
    }
    a.rejectUnknown();
    crossCheck(
        a,
        () -> key.plan().isEmpty() || plans.containsKey(key.plan()),
        "there is no plan '" + key.plan() + "'",
        "the name of a plan line");
    crossCheck(
        a,
        () -> key.customerInstanceCount() <= fleetSize && key.customerFirstInstance() < fleetSize,
        "a spread beyond the fleet's " + fleetSize + " gatekeepers",
        "first below it, spread at most it");
  }

  private void route(ConfigurationLine line) {
    LineArguments a = arguments(line, 3, "route METHOD PATH CLASS");
    Route route = new Route(a.word(0), a.word(1), a.word(2));
    if (a.isValid() && !route.prefix().startsWith("/")) {
      a.addError("path '" + route.prefix() + "'", "a path that starts with /");
    }
    if (a.isValid() && !route.method().matches("\\*|[A-Z]+")) {
      a.addError("method '" + route.method() + "'", "a method in capitals, or *");
    }
    if (routes.stream()
        .anyMatch(r -> r.method().equals(route.method()) && r.prefix().equals(route.prefix()))) {
      a.addError(
          "route " + route.method() + " " + route.prefix() + " is given twice", "each route once");
    }
    routes.add(route);
    a.rejectUnknown();
    crossCheck(
        a,
        () -> route.requestClass().isEmpty() || classes.containsKey(route.requestClass()),
        "there is no class '" + route.requestClass() + "'",
        "the name of a class line");
  }

  private void descriptor(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            2,
            "descriptor DOMAIN KEY=VALUE,KEY=* customer NAME|{KEY} plan NAME class NAME [units N]");
    List<Map.Entry<String, String>> entries = new ArrayList<>();
    for (String each : a.isValid() ? a.word(1).split(",") : new String[0]) {
      int is = each.indexOf('=');
      if (is <= 0 || is == each.length() - 1) {
        a.addError(
            "'" + each + "' is no entry of a descriptor", "KEY=VALUE, or KEY=* for any value");
      } else {
        entries.add(Map.entry(each.substring(0, is), each.substring(is + 1)));
      }
    }
    Descriptor read =
        new Descriptor(
            a.word(0),
            List.copyOf(entries),
            a.word("customer", ""),
            a.word("plan", ""),
            a.word("class", ""),
            a.number("units", 1e-6, MAX_AMOUNT, 1));
    if (a.isValid()
        && (read.customer().isEmpty()
            || read.customer().startsWith("{")
                && entries.stream()
                    .noneMatch(e -> read.customer().equals("{" + e.getKey() + "}")))) {
      a.addError(
          "customer '" + read.customer() + "'",
          "a name, or the key of one of its entries in braces");
    }
    descriptors.add(read);
    a.rejectUnknown();
    crossCheck(
        a,
        () -> plans.containsKey(read.plan()),
        "there is no plan '" + read.plan() + "'",
        "the name of a plan line");
    crossCheck(
        a,
        () -> classes.containsKey(read.requestClass()),
        "there is no class '" + read.requestClass() + "'",
        "the name of a class line");
    crossCheck(
        a,
        () -> rateLimit != null,
        "descriptors without a rate limit service",
        "rate-limit HOST:PORT");
  }

  private void server(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 2, "server ID HOST:PORT [zone NAME] [cell NUMBER] [weight N]");
    StaticEndpoint s =
        new StaticEndpoint(
            a.word(0),
            a.address(1),
            a.word("zone", ""),
            a.integer("cell", 0, 1_000_000, 0),
            a.number("weight", 1e-6, MAX_AMOUNT, 1));
    if (staticEndpoints.putIfAbsent(s.id(), s) != null) {
      a.addError("server " + s.id() + " is given twice", "each server once");
    }
    a.rejectUnknown();
  }

  private void limits(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            0,
            "limits [attempts N] [open N] [retry-after TIME] [duplicates yes|no] "
                + "[cancel yes|no] [probes yes|no] [peers yes|no]");
    limits = PolicyConfigReader.readLimits(a);
    a.rejectUnknown();
  }

  private void rules(ConfigurationLine line) {
    LineArguments a =
        arguments(
            line,
            0,
            "rules [answer-grace TIME] [drain-grace TIME] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [ask-within TIME]");
    rules = PolicyConfigReader.readRules(a);
    a.rejectUnknown();
  }

  private void counter(ConfigurationLine line) {
    List<Address> parts = new ArrayList<>();
    LineArguments a =
        arguments(line, line.words().size() - 1, line.keyword() + " HOST:PORT [HOST:PORT ...]");
    for (String each : line.words().subList(1, line.words().size())) {
      Address address = a.parseAddress(each);
      if (parts.contains(address)) {
        a.addError("counter part " + address + " is given twice", "each part once");
      }
      parts.add(address);
    }
    if (parts.isEmpty()) {
      a.addError(
          line.keyword() + " names no address", line.keyword() + " HOST:PORT [HOST:PORT ...]");
    }
    crossCheck(a, () -> counterNodes.isEmpty(), "counter and counter-node both", "one of them");
    counter =
        new CounterService(
            List.copyOf(new LinkedHashSet<>(parts)),
            Map.of(),
            counter.timeoutMicros(),
            counter.settlesUnits(),
            counter.maxCallsInFlight());
  }

  private void counterLimits(ConfigurationLine line) {
    LineArguments a =
        arguments(line, 0, "counter-limits [timeout TIME] [calls NUMBER] [settled yes|no]");
    counter =
        new CounterService(
            counter.shards(),
            Map.of(),
            a.micros("timeout", 1_000, 60_000_000, 50_000),
            a.flag("settled", false),
            a.integer("calls", 1, 1_000_000, 4096));
    a.rejectUnknown();
  }
}
