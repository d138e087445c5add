/**
 * The endpoints: which are in use, how much they may be given, which one takes the next attempt.
 * {@link fawndock.policy.routing.EndpointRouter} takes a request through the rules.
 */
package fawndock.policy.routing;
