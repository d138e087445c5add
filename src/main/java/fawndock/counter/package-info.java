/**
 * The counter service: the Redis serialization protocol in front of {@link
 * fawndock.counter.storage}. One event loop owns connections and counts; one thread writes the log
 * and another the snapshots, each with at most one thing to do. Nothing here knows gatekeepers,
 * drills or stand-ins.
 */
package fawndock.counter;
