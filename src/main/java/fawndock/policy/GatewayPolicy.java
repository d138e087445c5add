package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.PolicyEvent;
import java.util.List;

/**
 * Makes the decisions of one gateway instance, as configured by a {@link PolicyConfig}. It receives
 * {@link PolicyEvent}s in the order in which they happen and returns for each the {@link
 * PolicyAction}s to carry out, in order. An instance is used by one thread at a time.
 */
public interface GatewayPolicy {
  /**
   * Handles one event.
   *
   * @param nowMicros when the event happened, in microseconds of a clock that all instances share;
   *     never less than in an earlier call
   * @return the actions to carry out now, in this order
   */
  List<PolicyAction> onEvent(long nowMicros, PolicyEvent event);
}
