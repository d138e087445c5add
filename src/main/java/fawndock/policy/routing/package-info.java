/**
 * Tracks the endpoints in use, limits how much each is sent, and selects the endpoint of each
 * attempt. {@link fawndock.policy.routing.EndpointRouter} applies these rules to a request.
 */
package fawndock.policy.routing;
