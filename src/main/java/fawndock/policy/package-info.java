/**
 * The decisions of one gateway instance: which requests to admit, where and when to send them, when
 * to retry, reject or fail them. Events in, actions out; no I/O, clock or thread. {@link
 * fawndock.policy.GatewayPolicy} is the interface, {@link fawndock.policy.DefaultGatewayPolicy} the
 * implementation, which wires the rules of the packages below.
 */
package fawndock.policy;
