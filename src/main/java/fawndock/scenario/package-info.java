/**
 * Fault-injection scenarios (command {@code drill}): faults on loopback against gateways that run
 * as separate processes. The trace that the fakes record at their sockets is checked against the
 * five rules; a gateway's log is never read.
 */
package fawndock.scenario;
