/**
 * The pure part of the counter service: exact amounts, the table of counts, expiry, the log's
 * format, when a group of changes is committed, snapshots and recovery. Storage is an interface
 * here, time is an argument, and nothing starts a thread; so all of it runs on simulated storage
 * that fails.
 */
package fawndock.counter.storage;
