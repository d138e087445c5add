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
 * @param firstInstance the number of the first of them in the fleet, from 0
 * @param fleetSize gatekeepers in the fleet, from 1
 * @param seed of the decisions' random choices
 * @param zone where this process runs
 * @param classes the request classes, in the order given
 * @param plans the plans, in the order given
 * @param apiKeys who holds each key
 * @param routes method and path to class; the longest matching prefix decides
 * @param limits what a gatekeeper may do
 * @param rules the figures of the rules
 * @param counter the counter service
 * @param discovery where the servers are learned from
 * @param peers the other gatekeepers
 * @param http how requests are read and passed on
 * @param log how it is logged
 * @param rateLimit the gRPC rate limit service
 */
public record GatewaySettings(
    Address listen,
    int instances,
    int firstInstance,
    int fleetSize,
    long seed,
    String zone,
    List<RequestClass> classes,
    List<Plan> plans,
    Map<String, ApiKey> apiKeys,
    List<Route> routes,
    GatewayLimits limits,
    ServiceRules rules,
    CounterService counter,
    EndpointDiscovery discovery,
    Peers peers,
    Http http,
    Log log,
    RateLimit rateLimit) {

  /**
   * Whom a key belongs to, and which instances that customer's requests come through: all when
   * spread is 0.
   */
  public record ApiKey(
      String customer, String plan, int customerFirstInstance, int customerInstanceCount) {}

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
  public record CounterService(
      List<Address> shards,
      Map<String, Address> clusterNodes,
      long timeoutMicros,
      boolean settlesUnits,
      int maxCallsInFlight) {
    /** Whether there is no counter. */
    public boolean isAbsent() {
      return shards.isEmpty() && clusterNodes.isEmpty();
    }
  }

  /**
   * The roster, and the servers known before it is heard; silence for longer than this is a loss.
   */
  public record EndpointDiscovery(
      Address address,
      long watchIdleTimeoutMicros,
      boolean isPolicyStarted,
      List<StaticEndpoint> staticEndpoints) {}

  /** A server named in the settings. */
  public record StaticEndpoint(String id, Address address, String zone, int cell, double weight) {}

  /**
   * The fellow gatekeepers by their numbers, and where this process hears them; {@code
   * maxMessagesPerSecond} a second.
   */
  public record Peers(Address listen, Map<Integer, Address> addresses, int maxMessagesPerSecond) {}

  /** Names of the header fields, sizes in bytes, and times. */
  public record Http(
      String keyHeader,
      String deadlineHeader,
      String attemptHeader,
      String unitsHeader,
      double maxUnits,
      int maxRequestBodyBytes,
      int maxBufferedResponseBytes,
      int connectionsPerEndpoint,
      int streamsPerConnection,
      long connectTimeoutMicros,
      long drainTimeoutMicros,
      int maxClientConnections) {}

  /** Text or JSON lines, and the level: error, warn, info or debug. */
  public record Log(boolean isJson, String level) {}

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
