/**
 * Stand-ins for what surrounds a gatekeeper: workers, counter, roster and clients, small and faulty
 * on demand. Used by drills, the demo, measurements and tests alone; no host or decision may know
 * of them. They record what crossed their sockets and never ask a gatekeeper.
 */
package fawndock.fake;
