package fawndock.counter.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Order in which nodes are tried for a name, by rendezvous hashing: removing a node moves only the
 * names for which it came first. All names of a series have the same order on all gateways. Not
 * thread-safe.
 */
final class RendezvousOrder {
  private static final int MAX_CACHED_SERIES = 200_000;
  private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;
  private static final long FINALIZER_MULTIPLIER = 0xFF51AFD7ED558CCDL;

  private final Collection<String> nodes;
  private final Map<String, List<String>> cachedOrders = new HashMap<>();

  /**
   * @param nodes live view of the nodes on the membership list
   */
  RendezvousOrder(Collection<String> nodes) {
    this.nodes = nodes;
  }

  /** Clears the cache after a change of the nodes. */
  void clear() {
    cachedOrders.clear();
  }

  List<String> nodesFor(String name) {
    if (cachedOrders.size() > MAX_CACHED_SERIES) {
      cachedOrders.clear();
    }
    return cachedOrders.computeIfAbsent(ReplicatedSum.series(name), this::order);
  }

  private List<String> order(String series) {
    List<String> order = new ArrayList<>(nodes);
    order.sort(Comparator.comparingLong(node -> weight(series, node)));
    return order;
  }

  private static long weight(String series, String node) {
    long hash = FNV_OFFSET_BASIS;
    for (char c : (node + '/' + series).toCharArray()) {
      hash = (hash ^ c) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * FINALIZER_MULTIPLIER;
    return hash ^ (hash >>> 33);
  }
}
