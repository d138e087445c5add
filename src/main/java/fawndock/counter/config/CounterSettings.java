package fawndock.counter.config;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.LogSettings;
import java.nio.file.Path;
import java.util.Map;

/**
 * The settings of one counter process, as read from its settings file. Immutable.
 *
 * @param listen the address at which clients connect
 * @param directory the directory of the write-ahead log and the snapshots
 * @param durability the kind of crash that an acknowledged change survives
 * @param syncIntervalMillis the time between syncs with interval durability, at least 1
 * @param snapshotAfterLogBytes the log size in bytes after which a snapshot is taken
 * @param password the password that clients must give; empty for none
 * @param maxConnections the maximum number of client connections; further ones are closed at once
 * @param maxMemoryBytes the memory limit for names; new names beyond it are rejected
 * @param stalledClientTimeoutMillis the time after which a connection with an incomplete command or
 *     unread replies is closed
 * @param logSettings the format and level of the log messages
 * @param cluster this node and the other replicas
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
   * The replicas of the counter and the timeouts between them. Immutable.
   *
   * @param nodeName the name of this node; empty if it is the only one
   * @param epoch the epoch of the membership list
   * @param failureTimeoutMillis the time without a heartbeat after which a peer counts as
   *     partitioned or dead
   * @param startAloneMillis the time after which a node that reaches no peer starts alone
   * @param peers the addresses of the other nodes, by name
   */
  public record Cluster(
      String nodeName,
      long epoch,
      long failureTimeoutMillis,
      long startAloneMillis,
      Map<String, Address> peers) {}
}
