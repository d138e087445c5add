package fawndock.platform;

import fawndock.policy.config.PolicyConfig;
import fawndock.settings.Address;

/**
 * The configuration that the platform gives to this gateway instance; read by {@link
 * PlatformConfigReader}.
 *
 * @param name the instance's name, for the log
 * @param listen where clients connect
 * @param discovery address of endpoint discovery
 * @param counter address of the counter, or null without one
 * @param policy settings of the policy
 * @param knownEndpoints the last known endpoint list; may be out of date
 * @param maxSockets descriptors that the process may hold
 * @param memoryBytes memory that the process may hold
 * @param connectTimeoutMicros longest time for a connection to an endpoint or the counter
 * @param endpointIdleTimeoutMicros after which endpoints close idle connections; 0 when unknown
 * @param maxRequestUnits the most units of one request
 */
record PlatformConfig(
    String name,
    Address listen,
    Address discovery,
    Address counter,
    PolicyConfig policy,
    EndpointList knownEndpoints,
    int maxSockets,
    long memoryBytes,
    long connectTimeoutMicros,
    long endpointIdleTimeoutMicros,
    double maxRequestUnits) {

  /** Returns the longest deadline of any request class, in microseconds. */
  long longestDeadlineMicros() {
    return policy.requestClasses().stream().mapToLong(c -> c.deadlineMicros()).max().orElse(0);
  }
}
