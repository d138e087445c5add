/**
 * The gateway for the operators' platform: RESP2 clients and backends, the {@code ADDGET} counter,
 * endpoint discovery, configuration reload and graceful shutdown. The package translates between
 * these protocols and {@link fawndock.runtime.PolicyRunner}; only the policy decides whether, where
 * and when a request is sent, rejected or abandoned. The package does not serve HTTP clients and
 * depends neither on the HTTP gateway nor on any tool.
 */
package fawndock.platform;
