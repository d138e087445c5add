/**
 * Runs a {@link fawndock.policy.GatewayPolicy} on one event loop: passes events to it, executes its
 * actions, and keeps the in-flight requests, deadlines and timers. The HTTP gateway and the
 * platform share this package. It does not depend on a protocol (no type of HTTP or RESP may be
 * used here) and makes no routing, retry or admission decisions.
 */
package fawndock.runtime;
