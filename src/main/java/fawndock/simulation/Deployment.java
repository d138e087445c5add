package fawndock.simulation;

import fawndock.fake.FakeBackend;
import fawndock.loadgen.ClientBehavior;
import fawndock.loadgen.RateShape;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Describes the deployment that a simulation runs, its demand and its duration. Immutable.
 *
 * @param zoneCount number of zones; backends are assigned to them round-robin
 * @param backend capacity and overload behavior of each backend
 * @param queueingSlowdown relative increase of the work time for each queued request beyond one per
 *     core; 0 for no slowdown
 * @param network model of the network between all processes
 * @param counter model of the counter that all gateways share
 * @param discoveryDelayMicros delay until a gateway is notified of a change
 * @param durationSeconds how long clients send requests
 */
public record Deployment(
    int gatewayCount,
    int backendCount,
    int zoneCount,
    FakeBackend.BackendConfig backend,
    double queueingSlowdown,
    NetworkModel network,
    CounterModel counter,
    long discoveryDelayMicros,
    List<RequestClass> requestClasses,
    List<Plan> plans,
    GatewayLimits limits,
    ServiceRules rules,
    List<Demand> demands,
    double durationSeconds,
    long seed) {
  /**
   * The network. The delay of each message is drawn independently.
   *
   * @param minDelayMicros the minimum delay
   * @param meanExtraDelayMicros mean of the exponentially distributed delay beyond the minimum
   * @param lossRatio share of the messages to and from the counter, and between gateways, that are
   *     lost
   */
  public record NetworkModel(long minDelayMicros, long meanExtraDelayMicros, double lossRatio) {}

  /**
   * The counter.
   *
   * @param callsPerSecond service rate of each partition
   * @param timeoutMicros time after which a gateway stops waiting for a reply
   * @param partitionCount number of partitions; each counter name belongs to one of them
   * @param rejectRatio share of the calls that are rejected without being counted
   * @param maxQueueMicros longest queueing time; a call that would queue longer is rejected without
   *     being counted. With 0 the limit is one second, and a call beyond it gets no reply
   */
  public record CounterModel(
      double callsPerSecond,
      long timeoutMicros,
      int partitionCount,
      double rejectRatio,
      long maxQueueMicros) {}

  /**
   * The requests that a group of customers sends.
   *
   * @param customerCount number of customers; their names are the demand's name and an index
   * @param skew of the customers' shares of the requests; 0 for equal shares
   * @param gatewaysPerCustomer number of gateways that each customer uses
   * @param requestsPerSecond rate of all customers together
   * @param timeoutMicros time from sending a request to its deadline
   */
  public record Demand(
      String name,
      String requestClass,
      String plan,
      int customerCount,
      double skew,
      int gatewaysPerCustomer,
      double requestsPerSecond,
      RateShape shape,
      long timeoutMicros,
      ClientBehavior clientBehavior) {}

  /** Returns the plan of each customer, by the customer's name. */
  public Map<String, Plan> customerPlans() {
    Map<String, Plan> planByCustomer = new HashMap<>();
    for (Demand demand : demands) {
      Plan plan =
          plans.stream()
              .filter(candidate -> candidate.name().equals(demand.plan()))
              .findFirst()
              .orElseThrow();
      for (int i = 0; i < demand.customerCount(); i++) {
        planByCustomer.put(demand.name() + "-" + i, plan);
      }
    }
    return planByCustomer;
  }
}
