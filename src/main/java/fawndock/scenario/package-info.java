/**
 * Drills: troubles played on loopback against gatekeepers in processes of their own, and judged by
 * the judge of the five rules. The judge knows only what the stand-ins recorded at their sockets;
 * it never reads a gatekeeper's log.
 */
package fawndock.scenario;
