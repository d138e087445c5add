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
 * @param intervalMillis between syncs when by interval, from 1
 * @param snapshotAfter bytes of log after which a snapshot is taken
 * @param password that clients must give; empty for none
 * @param maxConnections beyond which connections are refused
 * @param maxMemory bytes for names; new ones beyond it are refused
 * @param stallMillis after which a connection is closed that leaves a command half sent, or answers
 *     unread
 * @param log how it is logged
 * @param fleet the nodes that stand in for each other
 */
public record CounterSettings(
    Address listen,
    Path directory,
    Durability durability,
    long intervalMillis,
    long snapshotAfter,
    String password,
    int maxConnections,
    long maxMemory,
    long stallMillis,
    Log log,
    Fleet fleet) {
  /**
   * The nodes that stand in for each other.
   *
   * @param node the name of this one; empty when it is alone
   * @param epoch of the list of nodes
   * @param missingMillis of silence after which another node counts as cut off or dead
   * @param aloneMillis after which a node that reaches no other begins by itself
   * @param fellows the others, by name
   */
  public record Fleet(
      String node,
      long epoch,
      long missingMillis,
      long aloneMillis,
      Map<String, Address> fellows) {}
}
