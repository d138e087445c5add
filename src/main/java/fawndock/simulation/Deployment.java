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
 * The deployment that a simulation runs.
 *
 * @param gatewayCount gateway instances
 * @param backendCount backends
 * @param zoneCount zones that backends are in, in turns
 * @param backend how each backend is built
 * @param queueingSlowdown by which work takes longer for each request that queues beyond one a
 *     core, as a share; 0 for not at all
 * @param network between all processes
 * @param counter that all gateways share
 * @param discoveryDelayMicros until a gateway is notified of a change
 * @param durationSeconds how long clients send
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
   * The delay of each message, drawn for each by itself.
   *
   * @param minDelayMicros the least delay
   * @param meanExtraDelayMicros mean of what is added, exponentially distributed
   * @param lossRatio share of the messages to and from the counter that are lost
   */
  public record NetworkModel(long minDelayMicros, long meanExtraDelayMicros, double lossRatio) {}

  /**
   * The counter.
   *
   * @param callsPerSecond service rate of each partition
   * @param timeoutMicros after which a gateway gives up a call
   * @param partitionCount partitions, each name on one of them
   * @param rejectRatio share of the calls that are rejected uncounted
   * @param maxQueueMicros longest queueing time, beyond which a call is rejected uncounted; 0 for a
   *     second, beyond which a call gets no reply
   */
  public record CounterModel(
      double callsPerSecond,
      long timeoutMicros,
      int partitionCount,
      double rejectRatio,
      long maxQueueMicros) {}

  /**
   * What a group of customers sends.
   *
   * @param customerCount customers, named after the demand, with a number
   * @param skew of the customers' shares; 0 for equal shares
   * @param gatewaysPerCustomer gateways that a customer uses
   * @param requestsPerSecond of all customers together
   * @param timeoutMicros from a request to its deadline
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

  /** Each customer's plan, by the customer's name. */
  public Map<String, Plan> customerPlans() {
    Map<String, Plan> all = new HashMap<>();
    for (Demand demand : demands) {
      Plan plan =
          plans.stream().filter(p -> p.name().equals(demand.plan())).findFirst().orElseThrow();
      for (int i = 0; i < demand.customerCount(); i++) {
        all.put(demand.name() + "-" + i, plan);
      }
    }
    return all;
  }
}
