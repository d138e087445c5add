package fawndock.policy.routing;

import static fawndock.policy.PolicyHarness.allOf;

import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.PolicyHarness;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import java.util.ArrayList;
import java.util.List;

/** A fleet of gateway instances that each receive a part of the traffic. */
public abstract class FleetFixture {
  protected static final int INSTANCES = 300;
  protected static final int ENDPOINTS = 60;
  protected long nowMicros = 100 * PolicyHarness.SECOND_MICROS;
  protected final List<GatewayPolicy> fleet = new ArrayList<>();

  protected void start(int instances, List<Endpoint> endpoints) {
    PolicyConfig base =
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false);
    for (int i = 0; i < instances; i++) {
      fleet.add(
          new DefaultGatewayPolicy(
              new PolicyConfig(
                  i,
                  instances,
                  i,
                  base.roundTripMicros(),
                  base.zone(),
                  false,
                  base.requestClasses(),
                  base.plans(),
                  base.limits(),
                  base.rules(),
                  base.counter())));
      onEvent(i, new EndpointUpdate(EndpointUpdateKind.CACHED, endpoints));
    }
  }

  protected List<StartAttempt> onEvent(int instance, PolicyEvent event) {
    return allOf(StartAttempt.class, fleet.get(instance).onEvent(nowMicros, event));
  }

  protected static List<Endpoint> warmEndpoints(int count) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.add(PolicyHarness.endpoint("s" + i, EndpointState.RUNNING, 0));
    }
    return endpoints;
  }

  protected RequestArrived request(long id) {
    return new RequestArrived(
        id,
        "class",
        "plan",
        "customer",
        nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }
}
