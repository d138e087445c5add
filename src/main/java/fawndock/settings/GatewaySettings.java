package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.List;
import java.util.Map;

/**
 * All that a settings file says.
 *
 * @param listen where clients connect
 * @param instances gatekeepers in this process, from 1
 * @param first the number of the first of them in the fleet, from 0
 * @param fleet gatekeepers in the fleet, from 1
 * @param seed of the decisions' random choices
 * @param zone where this process runs
 * @param classes the request classes, in the order given
 * @param plans the plans, in the order given
 * @param keys who holds each key
 * @param routes method and path to class; the longest matching prefix decides
 * @param limits what a gatekeeper may do
 * @param rules the figures of the rules
 * @param counter the counter service
 * @param roster where the servers are learned from
 * @param peers the other gatekeepers
 * @param http how requests are read and passed on
 * @param log how it is logged
 * @param rateLimit the gRPC rate limit service
 */
public record GatewaySettings(
    Address listen,
    int instances,
    int first,
    int fleet,
    long seed,
    String zone,
    List<RequestClass> classes,
    List<Plan> plans,
    Map<String, Key> keys,
    List<Route> routes,
    GatewayLimits limits,
    ServiceRules rules,
    CounterParts counter,
    RosterSource roster,
    Peers peers,
    Http http,
    Log log,
    RateLimit rateLimit) {

  /**
   * Whom a key belongs to, and which instances that customer's requests come through: all when
   * spread is 0.
   */
  public record Key(String customer, String plan, int first, int spread) {}

  /**
   * Requests of this method ({@code *} for any) whose path starts with the prefix are of the class.
   */
  public record Route(String method, String prefix, String requestClass) {
    /** Whether a request is this route's: the prefix ends where a path segment ends. */
    public boolean matches(String method, String path) {
      return (this.method.equals("*") || this.method.equals(method))
          && path.startsWith(prefix)
          && (prefix.endsWith("/")
              || path.length() == prefix.length()
              || path.charAt(prefix.length()) == '/');
    }
  }

  /**
   * The parts of the counter service, in an order that all gatekeepers share, each with its own
   * counts; or nodes that stand in for each other, by names that all gatekeepers share. Both empty
   * is no counter.
   */
  public record CounterParts(
      List<Address> parts,
      Map<String, Address> nodes,
      long timeoutMicros,
      boolean settled,
      int maxCalls) {
    /** Whether there is no counter. */
    public boolean none() {
      return parts.isEmpty() && nodes.isEmpty();
    }
  }

  /**
   * The roster, and the servers known before it is heard; silence for longer than this is a loss.
   */
  public record RosterSource(
      Address address, long silenceMicros, boolean mustAsk, List<FixedServer> fixed) {}

  /** A server named in the settings. */
  public record FixedServer(String id, Address address, String zone, int cell, double weight) {}

  /**
   * The fellow gatekeepers by their numbers, and where this process hears them; {@code intake} a
   * second.
   */
  public record Peers(Address listen, Map<Integer, Address> others, int intake) {}

  /** Names of the header fields, sizes in bytes, and times. */
  public record Http(
      String keyHeader,
      String deadlineHeader,
      String attemptHeader,
      String unitsHeader,
      double mostUnits,
      int bodyLimit,
      int answerLimit,
      int connectionsPerServer,
      int streamsPerConnection,
      long connectMicros,
      long stopMicros,
      int maxConnections) {}

  /** Text or JSON lines, and the level: error, warn, info or debug. */
  public record Log(boolean json, String level) {}

  /**
   * Where the rate limit service listens, null for none, and what its descriptors mean, the first
   * that fits.
   */
  public record RateLimit(Address listen, List<Descriptor> descriptors) {}

  /**
   * What a descriptor of a domain means.
   *
   * @param entries its keys in order, each with its value, {@code *} for any
   * @param customer a name, or the value of the entry whose key stands in braces
   */
  public record Descriptor(
      String domain,
      List<Map.Entry<String, String>> entries,
      String customer,
      String plan,
      String requestClass,
      double units) {}
}
