/**
 * Fakes of what surrounds a gateway: backends, counter, endpoint discovery and clients, small and
 * with faults on demand. Used by scenarios, the demo, benchmarks and tests only; nothing that the
 * gateway consists of depends on them. They record what crossed their sockets and never ask a
 * gateway.
 */
package fawndock.fake;
