package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.PolicyEvent;
import java.util.List;

/**
 * One gatekeeper's decisions, as a host sees them: it is made from {@link PolicyConfig}, is told
 * {@link Event}s in the order in which they happen, and answers each with the {@link PolicyAction}s
 * to carry out, in order. Times are in microseconds of a clock that all gatekeepers share. An
 * instance belongs to one thread at a time.
 */
public interface GatewayPolicy {
  /** Takes in one event at the time given and returns what is to be done now. */
  List<PolicyAction> onEvent(long nowMicros, PolicyEvent event);
}
