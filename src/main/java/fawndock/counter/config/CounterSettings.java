package fawndock.counter.config;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.LogSettings;
import java.nio.file.Path;
import java.util.Map;

/**
 * The settings of one counter process, as its settings file gives them. Immutable.
 *
 * @param listen where clients connect
 * @param directory of write-ahead log and snapshots
 * @param durability which crash an acknowledged change outlasts
 * @param syncIntervalMillis between syncs when the durability is by interval, from 1
 * @param snapshotAfterLogBytes bytes of log after which a snapshot is taken
 * @param password that clients must give; empty for none
 * @param maxConnections of clients; more are closed at once
 * @param maxMemoryBytes for names; new names beyond it are rejected
 * @param stalledClientTimeoutMillis after which a connection is closed that leaves a command half
 *     sent, or answers unread
 * @param logSettings how it is logged
 * @param cluster the replicas, this one among them
 */
public record CounterSettings(
    Address listen,
    Path directory,
    Durability durability,
    long syncIntervalMillis,
    long snapshotAfterLogBytes,
    String password,
    int maxConnections,
    long maxMemoryBytes,
    long stalledClientTimeoutMillis,
    LogSettings logSettings,
    Cluster cluster) {
  /**
   * The replicas of the counter.
   *
   * @param node the name of this one; empty when it is the only one
   * @param epoch of the membership list
   * @param failureTimeoutMillis without a heartbeat after which a peer counts as partitioned or
   *     dead
   * @param startAloneMillis after which a node that reaches no peer starts by itself
   * @param peers the other nodes, by name
   */
  public record Cluster(
      String nodeName,
      long epoch,
      long failureTimeoutMillis,
      long startAloneMillis,
      Map<String, Address> peers) {}
}
