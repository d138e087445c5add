/**
 * Runs a {@link fawndock.policy.GatewayPolicy} on one event loop: feeds it events, executes its
 * actions, and keeps in-flight requests, deadlines and timers. Shared by the HTTP gateway and the
 * platform; knows no protocol (no type of HTTP or RESP may be used here) and takes no routing,
 * retry or admission decision of its own.
 */
package fawndock.runtime;
