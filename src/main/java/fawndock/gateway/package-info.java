/**
 * The HTTP gateway. Each instance runs one {@link fawndock.policy.GatewayPolicy} on one event-loop
 * context: it passes network events to the policy and executes the actions that the policy returns.
 * This package handles protocols and timers. It never decides whether, where or when a request is
 * forwarded, rejected or failed, and it defines no parameter of those decisions.
 */
package fawndock.gateway;
