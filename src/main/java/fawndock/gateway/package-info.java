/**
 * The HTTP gateway: feeds one {@link fawndock.policy.GatewayPolicy} for each instance, on one
 * event-loop context, with what happens on the sockets and executes the actions that it returns. It
 * translates protocols and keeps time; it never decides whether, where or when a request is
 * forwarded, rejected or given up, and holds no tuned value of such decisions.
 */
package fawndock.gateway;
