package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.PolicyEvent;
import java.util.List;

/**
 * The decisions of one gateway instance: made from a {@link PolicyConfig}, it is given {@link
 * PolicyEvent}s in the order in which they happen, and answers each with the {@link PolicyAction}s
 * to carry out, in order. An instance belongs to one thread at a time.
 */
public interface GatewayPolicy {
  /**
   * Takes in one event.
   *
   * @param nowMicros when it happened, in microseconds of a clock that all instances share; never
   *     less than before
   * @return what is to be done now, in this order
   */
  List<PolicyAction> onEvent(long nowMicros, PolicyEvent event);
}
