/**
 * The gateway on the operators' platform: RESP2 clients and backends, the {@code ADDGET} counter,
 * endpoint discovery, configuration reload and graceful shutdown. It translates for {@link
 * fawndock.runtime.PolicyRunner}; the policy alone decides whether, where and when a request is
 * sent, rejected or abandoned. Knows nothing of HTTP clients, of the HTTP gateway or of any tool.
 */
package fawndock.platform;
