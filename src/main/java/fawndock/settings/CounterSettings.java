package fawndock.settings;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.GatewaySettings.Log;
import java.nio.file.Path;
import java.util.Map;

/**
 * All that a counter's settings file says.
 *
 * @param listen where clients connect
 * @param directory of log and snapshots
 * @param durability which crash an acknowledged change outlasts
 * @param syncIntervalMillis between syncs when by interval, from 1
 * @param snapshotAfterLogBytes bytes of log after which a snapshot is taken
 * @param password that clients must give; empty for none
 * @param maxConnections beyond which connections are refused
 * @param maxMemoryBytes bytes for names; new ones beyond it are refused
 * @param stalledClientTimeoutMillis after which a connection is closed that leaves a command half
 *     sent, or answers unread
 * @param log how it is logged
 * @param cluster the nodes that stand in for each other
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
    Log log,
    Cluster cluster) {
  /**
   * The nodes that stand in for each other.
   *
   * @param node the name of this one; empty when it is alone
   * @param epoch of the list of nodes
   * @param failureTimeoutMillis of silence after which another node counts as cut off or dead
   * @param startAloneMillis after which a node that reaches no other begins by itself
   * @param peers the others, by name
   */
  public record Cluster(
      String node,
      long epoch,
      long failureTimeoutMillis,
      long startAloneMillis,
      Map<String, Address> peers) {}
}
