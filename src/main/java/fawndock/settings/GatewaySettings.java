package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.List;
import java.util.Map;

/**
 * The settings of one gateway process, as its settings file gives them. Immutable.
 *
 * @param listen where clients connect
 * @param instances gateway instances in this process, from 1
 * @param firstInstance index of the first of them in the fleet, from 0
 * @param fleetSize instances in the fleet, from 1
 * @param seed of the policy's random choices
 * @param zone where this process runs
 * @param classes the request classes, in the order given
 * @param plans the plans, in the order given
 * @param apiKeys the customer of each key
 * @param routes method and path to class, the longest prefix first
 * @param limits what an instance may do
 * @param rules the figures of the service rules
 * @param counter the counter service
 * @param discovery where endpoints are learned from
 * @param peers the other instances
 * @param http how requests are read and forwarded
 * @param log how the log is written
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
    LogSettings log,
    RateLimit rateLimit) {

  /**
   * The customer of an API key.
   *
   * @param customerFirstInstance the first instance that the customer's requests arrive at
   * @param customerInstanceCount how many they arrive at; 0 for all
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
   * The counter service: shards, each with counts of its own, or the nodes of one replicated
   * cluster. Without either there is no counter.
   *
   * @param shards in an order that all instances share
   * @param clusterNodes by names that all instances share
   * @param timeoutMicros the longest wait for a call
   * @param settlesUnits whether load reports tell the true units of a request
   * @param maxCallsInFlight calls beyond it fail at once
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
   * Endpoint discovery.
   *
   * @param address of the discovery server; null for none
   * @param watchIdleTimeoutMicros without any line after which the watch is reopened
   * @param watchesOnDemand whether the watch begins only when the policy asks for it
   * @param staticEndpoints known from the start
   */
  public record EndpointDiscovery(
      Address address,
      long watchIdleTimeoutMicros,
      boolean watchesOnDemand,
      List<StaticEndpoint> staticEndpoints) {}

  /** An endpoint named in the settings. */
  public record StaticEndpoint(String id, Address address, String zone, int cell, double weight) {}

  /**
   * Peer messages among the instances of the fleet.
   *
   * @param listen where this process receives them; null for nowhere
   * @param addresses of the instances, by index
   * @param maxMessagesPerSecond received; more are dropped
   */
  public record Peers(Address listen, Map<Integer, Address> addresses, int maxMessagesPerSecond) {}

  /**
   * How HTTP requests are read and forwarded.
   *
   * @param unitsHeader names the request's units; empty for none
   * @param maxBufferedResponseBytes larger responses are streamed
   * @param connectTimeoutMicros for a connection to an endpoint
   * @param drainTimeoutMicros the longest wait for requests in flight when stopping
   * @param maxClientConnections of the process; more are closed at once
   */
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

  /**
   * The gRPC rate limit service.
   *
   * @param listen null for no service
   * @param descriptors what each means; the first that matches holds
   */
  public record RateLimit(Address listen, List<Descriptor> descriptors) {}

  /**
   * What a descriptor of a domain means.
   *
   * @param entries its keys in order, each with its value, {@code *} for any
   * @param customer a name, or the key in braces of the entry whose value is the name
   * @param units multiplied by the hits addend
   */
  public record Descriptor(
      String domain,
      List<Map.Entry<String, String>> entries,
      String customer,
      String plan,
      String requestClass,
      double units) {}
}
