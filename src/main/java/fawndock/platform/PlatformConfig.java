package fawndock.platform;

import fawndock.policy.config.PolicyConfig;
import fawndock.settings.Address;

/**
 * The configuration that the platform gives to this gateway instance, as read by {@link
 * PlatformConfigReader}.
 *
 * @param name name of the instance, for the log
 * @param listen address that clients connect to
 * @param discovery address of endpoint discovery
 * @param counter address of the counter, or null if there is none
 * @param policy settings of the policy
 * @param knownEndpoints the last known endpoint list; may be out of date
 * @param maxSockets maximum number of file descriptors of the process
 * @param memoryBytes memory limit of the process
 * @param connectTimeoutMicros timeout for opening a connection to an endpoint or the counter
 * @param endpointIdleTimeoutMicros time after which endpoints close idle connections; 0 if unknown
 * @param maxRequestUnits maximum cost of one request in units
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
