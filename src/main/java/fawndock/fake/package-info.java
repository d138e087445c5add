/**
 * Fakes of the systems around a gateway: backends, counter, endpoint discovery and clients, with
 * faults on demand. Only scenarios, the demo, benchmarks and tests use them; no production code of
 * the gateway depends on them. They record only what crosses their sockets and never query the
 * state of a gateway.
 */
package fawndock.fake;
