/**
 * The platform's way in and out: RESP2 from clients and to workers, the ADDGET counter, the
 * catalog's watch, new configurations and stops. It translates and keeps time for {@link
 * fawndock.runtime.GatekeeperHost}; whether, where and when a request is sent, refused or given up
 * is the decisions' alone, and no tuned value of theirs may be here. Knows nothing of HTTP requests
 * of clients, of the gateway or of any tool.
 */
package fawndock.platform;
