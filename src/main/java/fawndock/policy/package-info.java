/**
 * Decides for one gateway instance which requests to admit, where and when to send them, and when
 * to retry, reject or fail them. Events go in and actions come out; the package does no I/O, reads
 * no clock and starts no thread. {@link fawndock.policy.GatewayPolicy} is the interface, and {@link
 * fawndock.policy.DefaultGatewayPolicy} is the implementation, which connects the rules of the
 * packages below.
 */
package fawndock.policy;
