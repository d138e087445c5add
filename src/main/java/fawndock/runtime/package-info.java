/**
 * What every way in shares: feeds one {@link fawndock.policy.GatewayPolicy} on one event-loop
 * context with what happens and carries out what it returns; keeps the book of requests, the
 * backstop and the alarms. It knows no protocol: no type of HTTP, RESP or any other may be here. It
 * never decides whether, where or when a request is sent, refused or given up, and holds no tuned
 * value of such decisions.
 */
package fawndock.runtime;
