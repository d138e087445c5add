/**
 * Fault-injection scenarios (command {@code drill}): faults on loopback against gateways in
 * processes of their own. The trace that the fakes recorded at their sockets is checked against the
 * five rules; a gateway's log is never read.
 */
package fawndock.scenario;
