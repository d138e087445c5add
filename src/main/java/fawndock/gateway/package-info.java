/**
 * The running gatekeeper: feeds one {@link fawndock.policy.GatewayPolicy} on one event-loop context
 * with what happens on the sockets and carries out what it returns. It translates and keeps time;
 * it never decides whether, where or when a request is sent, refused or given up, and holds no
 * tuned value of such decisions.
 */
package fawndock.gateway;
