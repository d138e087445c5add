package fawndock.policy.routing;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests draining endpoints and the watch on discovery. */
class EndpointTableTest {
  @Test
  void drainingEndpoint_receivesNoNewAttempt() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b");
    harness.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("a", EndpointState.DRAINING, 0))));
    for (long id = 1; id <= 6; id++) {
      allOf(StartAttempt.class, harness.request(id))
          .forEach(attempt -> assertEquals("b", attempt.endpointId()));
    }
    harness.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.SNAPSHOT,
            List.of(PolicyHarness.endpoint("a", EndpointState.RUNNING, 0))));
    allOf(StartAttempt.class, harness.request(7))
        .forEach(attempt -> assertEquals("a", attempt.endpointId()));
  }

  @Test
  void discoveryThatMustBeWatched_isWatchedAgainAfterAFailure() {
    PolicyHarness harness =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false, true));
    single(
        WatchEndpoints.class,
        harness.onEvent(new EndpointUpdate(EndpointUpdateKind.CACHED, List.of())));
    ScheduleTimer rewatch =
        single(
            ScheduleTimer.class,
            harness.onEvent(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of())));
    single(WatchEndpoints.class, harness.onEvent(new TimerFired(rewatch.timer())));
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
