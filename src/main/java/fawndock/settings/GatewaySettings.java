package fawndock.settings;

import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.List;
import java.util.Map;

/**
 * The settings of one gateway process, as read from its settings file. Immutable.
 *
 * @param listen address on which clients connect
 * @param instances number of gateway instances in this process, at least 1
 * @param firstInstance index in the fleet, from 0, of the first instance in this process
 * @param fleetSize number of instances in the fleet, at least 1
 * @param seed seed of the policy's random number generator
 * @param zone availability zone of this process
 * @param classes request classes, in file order
 * @param plans plans, in file order
 * @param apiKeys customers by API key
 * @param routes routes from method and path to request class, longest prefix first
 * @param limits limits of each instance
 * @param rules durations and ratios of the service rules
 * @param counter settings of the counter service
 * @param discovery settings of endpoint discovery
 * @param peers settings of the messages among instances
 * @param http settings of HTTP requests and connections
 * @param log settings of the log
 * @param rateLimit settings of the gRPC rate limit service
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
   * The customer and plan of an API key.
   *
   * @param customerFirstInstance index of the first instance that receives the customer's requests
   * @param customerInstanceCount number of instances that receive them; 0 for all
   */
  public record ApiKey(
      String customer, String plan, int customerFirstInstance, int customerInstanceCount) {}

  /** Assigns a request class to requests with this method ({@code *} for any) and path prefix. */
  public record Route(String method, String prefix, String requestClass) {
    /**
     * Returns whether this route applies to a request. The prefix matches whole path segments only.
     */
    public boolean matches(String method, String path) {
      return (this.method.equals("*") || this.method.equals(method))
          && path.startsWith(prefix)
          && (prefix.endsWith("/")
              || path.length() == prefix.length()
              || path.charAt(prefix.length()) == '/');
    }
  }

  /**
   * The counter service: either shards, each of which holds different counts, or the nodes of one
   * replicated cluster. When both are empty, no counter is used.
   *
   * @param shards addresses of the shards; all instances must list them in the same order
   * @param clusterNodes addresses of the cluster's nodes; all instances must use the same names
   * @param timeoutMicros time limit of a call
   * @param settlesUnits whether the charge of a request is corrected to the units in its load
   *     report
   * @param maxCallsInFlight maximum of concurrent calls; further calls fail immediately
   */
  public record CounterService(
      List<Address> shards,
      Map<String, Address> clusterNodes,
      long timeoutMicros,
      boolean settlesUnits,
      int maxCallsInFlight) {
    /** Returns whether no counter is configured. */
    public boolean isAbsent() {
      return shards.isEmpty() && clusterNodes.isEmpty();
    }
  }

  /**
   * Settings of endpoint discovery.
   *
   * @param address address of the discovery server; null for none
   * @param watchIdleTimeoutMicros time without a received line after which the watch is reopened
   * @param watchesOnDemand whether the watch starts only when the policy requests it
   * @param staticEndpoints endpoints that are configured rather than discovered
   */
  public record EndpointDiscovery(
      Address address,
      long watchIdleTimeoutMicros,
      boolean watchesOnDemand,
      List<StaticEndpoint> staticEndpoints) {}

  /** An endpoint that is configured in the settings file. */
  public record StaticEndpoint(String id, Address address, String zone, int cell, double weight) {}

  /**
   * Settings of the messages among the instances of the fleet.
   *
   * @param listen address on which this process receives messages; null when it receives none
   * @param addresses addresses of the instances by index in the fleet
   * @param maxMessagesPerSecond maximum rate of received messages; excess messages are dropped
   */
  public record Peers(Address listen, Map<Integer, Address> addresses, int maxMessagesPerSecond) {}

  /**
   * Settings of HTTP requests and connections.
   *
   * @param unitsHeader name of the header field that holds a request's units; empty for none
   * @param maxBufferedResponseBytes size above which a response is streamed
   * @param connectTimeoutMicros time limit for connecting to an endpoint
   * @param drainTimeoutMicros time limit for requests in flight during shutdown
   * @param maxClientConnections maximum of client connections of the process; further ones are
   *     closed immediately
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
   * Settings of the gRPC rate limit service.
   *
   * @param listen address of the service; null when it is disabled
   * @param descriptors descriptors in file order; the first match applies
   */
  public record RateLimit(Address listen, List<Descriptor> descriptors) {}

  /**
   * Maps a rate limit descriptor of a domain to a customer, plan and request class.
   *
   * @param entries keys in order, each with its value, {@code *} for any value
   * @param customer the customer's name, or in braces the key of the entry whose value is the name
   * @param units units of a request, multiplied by its hits addend
   */
  public record Descriptor(
      String domain,
      List<Map.Entry<String, String>> entries,
      String customer,
      String plan,
      String requestClass,
      double units) {}
}
