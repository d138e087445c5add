package fawndock.simulation;

import fawndock.fake.FakeBackend;
import fawndock.loadgen.Manners;
import fawndock.loadgen.Shape;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is emulated.
 *
 * @param gatewayCount how many
 * @param backendCount how many
 * @param zoneCount that workers lie in, in turns
 * @param backend of each worker
 * @param queueingSlowdown by which work takes longer for each request that waits beyond one a core,
 *     as a share; 0 for not at all
 * @param network between all of them
 * @param counter that all gatekeepers ask
 * @param discoveryDelayMicros until a gatekeeper hears of a change
 * @param durationSeconds how long clients ask
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
   * Each way of each message by itself.
   *
   * @param minDelayMicros that a way takes
   * @param meanExtraDelayMicros that are added on average, exponentially
   * @param lossRatio share of the messages to and from the counter that never arrive
   */
  public record NetworkModel(long minDelayMicros, long meanExtraDelayMicros, double lossRatio) {}

  /**
   * The counter.
   *
   * @param callsPerSecond calls that each part takes, one after the other
   * @param timeoutMicros after which a gatekeeper gives up a call
   * @param partitionCount that names lie on, each name on one
   * @param rejectRatio share of the calls that are refused uncounted
   * @param maxQueueMicros how long the calls that wait may take; one more is refused uncounted; 0
   *     for a second, and no answer
   */
  public record CounterModel(
      double callsPerSecond,
      long timeoutMicros,
      int partitionCount,
      double rejectRatio,
      long maxQueueMicros) {}

  /**
   * What some customers ask.
   *
   * @param customerCount how many, named after the demand, with a number
   * @param gatewaysPerCustomer gatekeepers that a customer comes through
   * @param requestsPerSecond of all of them, a second
   */
  public record Demand(
      String name,
      String requestClass,
      String plan,
      int customerCount,
      double skew,
      int gatewaysPerCustomer,
      double requestsPerSecond,
      Shape shape,
      long timeoutMicros,
      Manners clientBehavior) {}

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
