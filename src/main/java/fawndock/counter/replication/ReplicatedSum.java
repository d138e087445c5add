package fawndock.counter.replication;

import fawndock.counter.storage.DecimalAmount;

/**
 * What one gatekeeper ever added to a name and took back from it. Both only grow, so that of two
 * the larger is the later, whatever way and how often they came.
 *
 * @param name of the count
 * @param origin the gatekeeper, in this start of it
 * @param added what it added
 * @param withdrawn what it took back, as a positive number
 * @param timeToLiveMillis how much longer the name is kept
 */
public record ReplicatedSum(
    String name, long origin, DecimalAmount added, DecimalAmount withdrawn, long timeToLiveMillis) {
  /** What the name's windows have in common: what stands before its last point. */
  public static String series(String name) {
    int point = name.lastIndexOf('.');
    return point < 0 ? name : name.substring(0, point);
  }
}
