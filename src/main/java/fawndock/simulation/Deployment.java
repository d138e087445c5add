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
 * @param gatekeepers how many
 * @param workers how many
 * @param zones that workers lie in, in turns
 * @param build of each worker
 * @param thrash by which work takes longer for each request that waits beyond one a core, as a
 *     share; 0 for not at all
 * @param network between all of them
 * @param counter that all gatekeepers ask
 * @param rosterMicros until a gatekeeper hears of a change
 * @param seconds how long clients ask
 */
public record Deployment(
    int gatekeepers,
    int workers,
    int zones,
    FakeBackend.Build build,
    double thrash,
    Network network,
    Counter counter,
    long rosterMicros,
    List<RequestClass> classes,
    List<Plan> plans,
    GatewayLimits limits,
    ServiceRules rules,
    List<Demand> demands,
    double seconds,
    long seed) {
  /**
   * Each way of each message by itself.
   *
   * @param leastMicros that a way takes
   * @param moreMicros that are added on average, exponentially
   * @param loss share of the messages to and from the counter that never arrive
   */
  public record Network(long leastMicros, long moreMicros, double loss) {}

  /**
   * The counter.
   *
   * @param perSecond calls that each part takes, one after the other
   * @param waitMicros after which a gatekeeper gives up a call
   * @param parts that names lie on, each name on one
   * @param turnsAway share of the calls that are refused uncounted
   * @param queueMicros how long the calls that wait may take; one more is refused uncounted; 0 for
   *     a second, and no answer
   */
  public record Counter(
      double perSecond, long waitMicros, int parts, double turnsAway, long queueMicros) {}

  /**
   * What some customers ask.
   *
   * @param customers how many, named after the demand, with a number
   * @param spread gatekeepers that a customer comes through
   * @param rate of all of them, a second
   */
  public record Demand(
      String name,
      String requestClass,
      String plan,
      int customers,
      double skew,
      int spread,
      double rate,
      Shape shape,
      long remainingMicros,
      Manners manners) {}

  /** Each customer's plan, by the customer's name. */
  public Map<String, Plan> plansOfCustomers() {
    Map<String, Plan> all = new HashMap<>();
    for (Demand demand : demands) {
      Plan plan =
          plans.stream().filter(p -> p.name().equals(demand.plan())).findFirst().orElseThrow();
      for (int i = 0; i < demand.customers(); i++) {
        all.put(demand.name() + "-" + i, plan);
      }
    }
    return all;
  }
}
