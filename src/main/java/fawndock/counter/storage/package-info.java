/**
 * Deterministic core of the counter service: exact amounts, the counter table, expiry, the log
 * format, group commit, snapshots and recovery. Storage is an interface, time is a parameter, and
 * no code here starts a thread, so that tests run all of it on simulated storage with injected
 * faults.
 */
package fawndock.counter.storage;
