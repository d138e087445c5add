package fawndock.counter.replication;

import fawndock.counter.storage.DecimalAmount;

/**
 * What one origin (gateway incarnation) ever added to a name and withdrew from it: its entry in a
 * PN-counter. Both amounts only grow, so that of two states the larger is the later, whatever way
 * and however often they came; merging takes the maximum of each.
 *
 * @param name of the count
 * @param origin incarnation of the gateway
 * @param added what it added
 * @param withdrawn what it withdrew, as a positive number
 * @param timeToLiveMillis how much longer the name is kept
 */
public record ReplicatedSum(
    String name, long origin, DecimalAmount added, DecimalAmount withdrawn, long timeToLiveMillis) {
  /** What the names of a count's windows have in common: the part before the last point. */
  public static String series(String name) {
    int point = name.lastIndexOf('.');
    return point < 0 ? name : name.substring(0, point);
  }
}
