package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.settings.GatewaySettings.CounterParts;
import fawndock.settings.GatewaySettings.Descriptor;
import fawndock.settings.GatewaySettings.FixedServer;
import fawndock.settings.GatewaySettings.Http;
import fawndock.settings.GatewaySettings.Key;
import fawndock.settings.GatewaySettings.Log;
import fawndock.settings.GatewaySettings.Peers;
import fawndock.settings.GatewaySettings.RateLimit;
import fawndock.settings.GatewaySettings.RosterSource;
import fawndock.settings.GatewaySettings.Route;
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
public final class SettingsFile extends ConfigurationFile {
  private static final long HOUR = Entries.HOUR;
  private static final double MANY = Entries.MANY;
  private static final Set<String> OFTEN =
      Set.of("descriptor", "class", "plan", "key", "route", "peer", "server", "counter-node");

  private Address listen;
  private int instances = 1;
  private int first;
  private int fleet = 1;
  private long seed = 1;
  private String zone = "";
  private final Map<String, RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, Plan> plans = new LinkedHashMap<>();
  private final Map<String, Key> keys = new LinkedHashMap<>();
  private final List<Route> routes = new ArrayList<>();
  private final Map<String, FixedServer> servers = new LinkedHashMap<>();
  private final Map<Integer, Address> others = new TreeMap<>();
  private Address peerListen;
  private int peerIntake = 100;
  private GatewayLimits limits =
      new GatewayLimits(3, 10_000, 30_000_000, false, true, false, true, true);
  private ServiceRules rules =
      new ServiceRules(10_000, 2_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000);
  private CounterParts counter = new CounterParts(List.of(), Map.of(), 50_000, false, 4096);
  private final Map<String, Address> counterNodes = new TreeMap<>();
  private Address roster;
  private long rosterSilence = 5_000_000;
  private boolean rosterAsk;
  private String keyHeader = "x-api-key";
  private String deadlineHeader = "x-envoy-expected-rq-timeout-ms";
  private String attemptHeader = "x-envoy-attempt-count";
  private String unitsHeader = "";
  private double mostUnits = 1;
  private int bodyLimit = 64 << 10;
  private int answerLimit = 1 << 20;
  private int connections = 2;
  private int streams = 250;
  private long connectMicros = 1_000_000;
  private long stopMicros = 30_000_000;
  private int maxConnections = 20_000;
  private Log log = new Log(false, "info");
  private Address rateLimit;
  private final List<Descriptor> descriptors = new ArrayList<>();

  private SettingsFile() {
    super(OFTEN);
    keywords.put(
        "listen",
        line -> {
          LineArguments a = args(line, 1, "listen HOST:PORT");
          listen = a.address(0);
          a.finish();
        });
    keywords.put(
        "instances",
        line -> {
          LineArguments a = args(line, 1, "instances NUMBER");
          instances = a.wholeOf("instances", a.place(0), 1, 64, 1);
          a.finish();
        });
    keywords.put(
        "gatekeeper",
        line -> {
          LineArguments a = args(line, 1, "gatekeeper NUMBER of FLEET");
          first = a.wholeOf("gatekeeper", a.place(0), 0, 9_999, 0);
          fleet = a.whole("of", 1, 10_000, 1);
          a.finish();
          check(
              a,
              () -> first + instances <= fleet,
              "gatekeepers "
                  + first
                  + " to "
                  + (first + instances - 1)
                  + " are not all below the fleet's "
                  + fleet,
              "NUMBER + instances at most FLEET");
        });
    keywords.put(
        "seed",
        line -> {
          LineArguments a = args(line, 1, "seed NUMBER");
          seed = a.wholeOf("seed", a.place(0), 0, 999_999_999, 1);
          a.finish();
        });
    keywords.put(
        "zone",
        line -> {
          LineArguments a = args(line, 1, "zone NAME");
          zone = a.place(0);
          a.finish();
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
          LineArguments a = args(line, 2, "counter-node NAME HOST:PORT");
          Address address = a.address(1);
          if (counterNodes.putIfAbsent(a.place(0), address) != null) {
            a.wrong("counter-node " + a.place(0) + " is given twice", "each node once");
          }
          a.finish();
        });
    keywords.put("counter-limits", this::counterLimits);
    keywords.put(
        "roster",
        line -> {
          LineArguments a = args(line, 1, "roster HOST:PORT [silence TIME] [must-ask yes|no]");
          roster = a.good() ? a.addressOf(a.place(0)) : null;
          rosterSilence = a.time("silence", 100_000, HOUR, 5_000_000);
          rosterAsk = a.flag("must-ask", false);
          a.finish();
        });
    keywords.put(
        "peer",
        line -> {
          LineArguments a = args(line, 2, "peer NUMBER HOST:PORT");
          int number = a.wholeOf("peer", a.place(0), 0, 9_999, 0);
          if (a.good() && others.put(number, a.addressOf(a.place(1))) != null) {
            a.wrong("peer " + number + " is given twice", "each peer once");
          }
          a.finish();
          check(
              a,
              () -> number < fleet,
              "peer " + number + " is not in a fleet of " + fleet,
              "a number below the fleet's size");
        });
    keywords.put(
        "peer-listen",
        line -> {
          LineArguments a = args(line, 1, "peer-listen HOST:PORT [intake MESSAGES-A-SECOND]");
          peerListen = a.good() ? a.addressOf(a.place(0)) : null;
          peerIntake = a.whole("intake", 1, 100_000, 100);
          a.finish();
        });
    keywords.put(
        "headers",
        line -> {
          LineArguments a =
              args(
                  line,
                  0,
                  "headers [key NAME] [deadline NAME] [attempt NAME] [units NAME most NUMBER]");
          keyHeader = header(a, "key", keyHeader);
          deadlineHeader = header(a, "deadline", deadlineHeader);
          attemptHeader = header(a, "attempt", attemptHeader);
          unitsHeader = header(a, "units", "");
          mostUnits = a.number("most", 1e-6, MANY, 1);
          a.finish();
        });
    keywords.put(
        "sizes",
        line -> {
          LineArguments a = args(line, 0, "sizes [body SIZE] [answer SIZE]");
          bodyLimit = (int) a.sizeOf("body", a.word("body", "64KiB"), 64 << 20);
          answerLimit = (int) a.sizeOf("answer", a.word("answer", "1MiB"), 64 << 20);
          a.finish();
        });
    keywords.put(
        "pool",
        line -> {
          LineArguments a =
              args(line, 0, "pool [connections NUMBER] [streams NUMBER] [connect TIME]");
          connections = a.whole("connections", 1, 1_000, 2);
          streams = a.whole("streams", 1, 100_000, 250);
          connectMicros = a.time("connect", 1_000, 60_000_000, 1_000_000);
          a.finish();
        });
    keywords.put(
        "stop",
        line -> {
          LineArguments a = args(line, 1, "stop TIME");
          stopMicros = a.timeOf("stop", a.place(0), 0, HOUR, 30_000_000);
          a.finish();
        });
    keywords.put(
        "max-connections",
        line -> {
          LineArguments a = args(line, 1, "max-connections NUMBER");
          maxConnections = a.wholeOf("max-connections", a.place(0), 1, 1_000_000, 20_000);
          a.finish();
        });
    keywords.put("log", line -> log = log(line));
    keywords.put(
        "rate-limit",
        line -> {
          LineArguments a = args(line, 1, "rate-limit HOST:PORT");
          rateLimit = a.good() ? a.addressOf(a.place(0)) : null;
          a.finish();
        });
    keywords.put("descriptor", this::descriptor);
  }

  /**
   * Reads a settings file and all that it includes.
   *
   * @throws ConfigurationException with every mistake when there is any
   */
  public static GatewaySettings read(Path file) throws ConfigurationException {
    return new SettingsFile().all(file);
  }

  private GatewaySettings all(Path file) throws ConfigurationException {
    lines(file);
    missing(listen == null, "no listen", "listen HOST:PORT");
    missing(classes.isEmpty(), "no class", "class NAME aim TIME deadline TIME");
    missing(routes.isEmpty(), "no route", "route METHOD PATH CLASS");
    missing(
        roster == null && servers.isEmpty(),
        "no roster and no server",
        "roster HOST:PORT, or server lines");
    finish();
    List<Route> longestFirst = new ArrayList<>(routes);
    longestFirst.sort((a, b) -> b.prefix().length() - a.prefix().length());
    return new GatewaySettings(
        listen,
        instances,
        first,
        fleet,
        seed,
        zone,
        List.copyOf(classes.values()),
        List.copyOf(plans.values()),
        Map.copyOf(keys),
        List.copyOf(longestFirst),
        limits,
        rules,
        new CounterParts(
            counter.parts(),
            new TreeMap<>(counterNodes),
            counter.timeoutMicros(),
            counter.settled(),
            counter.maxCalls()),
        new RosterSource(roster, rosterSilence, rosterAsk, List.copyOf(servers.values())),
        new Peers(peerListen, Map.copyOf(others), peerIntake),
        new Http(
            keyHeader,
            deadlineHeader,
            attemptHeader,
            unitsHeader,
            mostUnits,
            bodyLimit,
            answerLimit,
            connections,
            streams,
            connectMicros,
            stopMicros,
            maxConnections),
        log,
        new RateLimit(rateLimit, List.copyOf(descriptors)));
  }

  private String header(LineArguments a, String what, String otherwise) {
    String name = a.word(what, otherwise);
    if (!name.isEmpty() && !name.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")) {
      a.wrong("'" + name + "' cannot be a header field's name", "letters, digits and -");
    }
    return name;
  }

  private void requestClass(ConfigurationLine line) {
    LineArguments a =
        args(
            line,
            1,
            "class NAME aim TIME deadline TIME [worth N] [late-worth N] [repeat WORD] "
                + "[group WORD] [window TIME] [streamed yes|no] [aim-stretch N]");
    RequestClass c = Entries.requestClass(a);
    if (classes.putIfAbsent(c.name(), c) != null) {
      a.wrong("class " + c.name() + " is given twice", "each class once");
    }
    a.finish();
  }

  private void plan(ConfigurationLine line) {
    LineArguments a =
        args(
            line,
            1,
            "plan NAME [rate N] [store N] [open N] [pays N] [over-worth N] [over-cost N] "
                + "[ceiling-rate N] [ceiling-burst N] [ceiling-slack N]");
    Plan p = Entries.plan(a);
    if (plans.putIfAbsent(p.name(), p) != null) {
      a.wrong("plan " + p.name() + " is given twice", "each plan once");
    }
    a.finish();
  }

  private void key(ConfigurationLine line) {
    LineArguments a = args(line, 1, "key KEY customer NAME plan NAME [first NUMBER spread NUMBER]");
    Key key =
        new Key(
            a.word("customer", ""),
            a.word("plan", ""),
            a.whole("first", 0, 9_999, 0),
            a.whole("spread", 0, 10_000, 0));
    if (a.good() && (key.customer().isEmpty() || key.plan().isEmpty())) {
      a.wrong("a key without customer or plan", "key KEY customer NAME plan NAME");
    }
    if (keys.putIfAbsent(a.place(0), key) != null) {
      a.wrong("this key is given twice", "each key once");
    }
    a.finish();
    check(
        a,
        () -> key.plan().isEmpty() || plans.containsKey(key.plan()),
        "there is no plan '" + key.plan() + "'",
        "the name of a plan line");
    check(
        a,
        () -> key.spread() <= fleet && key.first() < fleet,
        "a spread beyond the fleet's " + fleet + " gatekeepers",
        "first below it, spread at most it");
  }

  private void route(ConfigurationLine line) {
    LineArguments a = args(line, 3, "route METHOD PATH CLASS");
    Route route = new Route(a.place(0), a.place(1), a.place(2));
    if (a.good() && !route.prefix().startsWith("/")) {
      a.wrong("path '" + route.prefix() + "'", "a path that starts with /");
    }
    if (a.good() && !route.method().matches("\\*|[A-Z]+")) {
      a.wrong("method '" + route.method() + "'", "a method in capitals, or *");
    }
    if (routes.stream()
        .anyMatch(r -> r.method().equals(route.method()) && r.prefix().equals(route.prefix()))) {
      a.wrong(
          "route " + route.method() + " " + route.prefix() + " is given twice", "each route once");
    }
    routes.add(route);
    a.finish();
    check(
        a,
        () -> route.requestClass().isEmpty() || classes.containsKey(route.requestClass()),
        "there is no class '" + route.requestClass() + "'",
        "the name of a class line");
  }

  private void descriptor(ConfigurationLine line) {
    LineArguments a =
        args(
            line,
            2,
            "descriptor DOMAIN KEY=VALUE,KEY=* customer NAME|{KEY} plan NAME class NAME [units N]");
    List<Map.Entry<String, String>> entries = new ArrayList<>();
    for (String each : a.good() ? a.place(1).split(",") : new String[0]) {
      int is = each.indexOf('=');
      if (is <= 0 || is == each.length() - 1) {
        a.wrong("'" + each + "' is no entry of a descriptor", "KEY=VALUE, or KEY=* for any value");
      } else {
        entries.add(Map.entry(each.substring(0, is), each.substring(is + 1)));
      }
    }
    Descriptor read =
        new Descriptor(
            a.place(0),
            List.copyOf(entries),
            a.word("customer", ""),
            a.word("plan", ""),
            a.word("class", ""),
            a.number("units", 1e-6, MANY, 1));
    if (a.good()
        && (read.customer().isEmpty()
            || read.customer().startsWith("{")
                && entries.stream()
                    .noneMatch(e -> read.customer().equals("{" + e.getKey() + "}")))) {
      a.wrong(
          "customer '" + read.customer() + "'",
          "a name, or the key of one of its entries in braces");
    }
    descriptors.add(read);
    a.finish();
    check(
        a,
        () -> plans.containsKey(read.plan()),
        "there is no plan '" + read.plan() + "'",
        "the name of a plan line");
    check(
        a,
        () -> classes.containsKey(read.requestClass()),
        "there is no class '" + read.requestClass() + "'",
        "the name of a class line");
    check(
        a,
        () -> rateLimit != null,
        "descriptors without a rate limit service",
        "rate-limit HOST:PORT");
  }

  private void server(ConfigurationLine line) {
    LineArguments a = args(line, 2, "server ID HOST:PORT [zone NAME] [cell NUMBER] [weight N]");
    FixedServer s =
        new FixedServer(
            a.place(0),
            a.address(1),
            a.word("zone", ""),
            a.whole("cell", 0, 1_000_000, 0),
            a.number("weight", 1e-6, MANY, 1));
    if (servers.putIfAbsent(s.id(), s) != null) {
      a.wrong("server " + s.id() + " is given twice", "each server once");
    }
    a.finish();
  }

  private void limits(ConfigurationLine line) {
    LineArguments a =
        args(
            line,
            0,
            "limits [attempts N] [open N] [retry-after TIME] [duplicates yes|no] "
                + "[cancel yes|no] [probes yes|no] [peers yes|no]");
    limits = Entries.limits(a);
    a.finish();
  }

  private void rules(ConfigurationLine line) {
    LineArguments a =
        args(
            line,
            0,
            "rules [answer-grace TIME] [drain-grace TIME] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [ask-within TIME]");
    rules = Entries.rules(a);
    a.finish();
  }

  private void counter(ConfigurationLine line) {
    List<Address> parts = new ArrayList<>();
    LineArguments a =
        args(line, line.words().size() - 1, line.keyword() + " HOST:PORT [HOST:PORT ...]");
    for (String each : line.words().subList(1, line.words().size())) {
      Address address = a.addressOf(each);
      if (parts.contains(address)) {
        a.wrong("counter part " + address + " is given twice", "each part once");
      }
      parts.add(address);
    }
    if (parts.isEmpty()) {
      a.wrong(line.keyword() + " names no address", line.keyword() + " HOST:PORT [HOST:PORT ...]");
    }
    check(a, () -> counterNodes.isEmpty(), "counter and counter-node both", "one of them");
    counter =
        new CounterParts(
            List.copyOf(new LinkedHashSet<>(parts)),
            Map.of(),
            counter.timeoutMicros(),
            counter.settled(),
            counter.maxCalls());
  }

  private void counterLimits(ConfigurationLine line) {
    LineArguments a =
        args(line, 0, "counter-limits [timeout TIME] [calls NUMBER] [settled yes|no]");
    counter =
        new CounterParts(
            counter.parts(),
            Map.of(),
            a.time("timeout", 1_000, 60_000_000, 50_000),
            a.flag("settled", false),
            a.whole("calls", 1, 1_000_000, 4096));
    a.finish();
  }
}
