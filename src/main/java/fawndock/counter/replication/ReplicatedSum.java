package fawndock.counter.replication;

import fawndock.counter.storage.DecimalAmount;

/**
 * The amounts that one origin (gateway incarnation) has added to a name and withdrawn from it: its
 * entry in a PN-counter. Both amounts only grow, so that the larger of two states is the later one.
 * Merging takes the maximum of each amount and is therefore independent of the order and number of
 * deliveries.
 *
 * @param name name of the counter
 * @param origin incarnation number of the gateway
 * @param added total amount added
 * @param withdrawn total amount withdrawn, as a positive number
 * @param timeToLiveMillis remaining time until the name expires
 */
public record ReplicatedSum(
    String name, long origin, DecimalAmount added, DecimalAmount withdrawn, long timeToLiveMillis) {
  /**
   * Returns the series of a name: the part before the last dot, which the names of all windows of a
   * counter share.
   */
  public static String series(String name) {
    int lastDot = name.lastIndexOf('.');
    return lastDot < 0 ? name : name.substring(0, lastDot);
  }
}
