package fawndock.platform;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.PolicyRunner;
import fawndock.settings.Address;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Applies endpoint lists to the connection pools and the policy, and manages the watch that
 * receives them. Confined to one event loop.
 */
final class EndpointDirectory implements AutoCloseable {
  private final TcpTransport transport;
  private final PolicyRunner runner;
  private final BackendConnectionPools pools;
  private final SplittableRandom random;
  private final Promise<Void> firstList = Promise.promise();

  /**
   * Watches, the newest last. Earlier ones stay open until the newest has received its first list.
   */
  private final ArrayDeque<EndpointWatch> watches = new ArrayDeque<>();

  private Address discoveryAddress;

  /** Creates an empty directory without a watch. */
  EndpointDirectory(
      TcpTransport transport,
      PolicyRunner runner,
      BackendConnectionPools pools,
      SplittableRandom random) {
    this.transport = transport;
    this.runner = runner;
    this.pools = pools;
    this.random = random;
  }

  /**
   * Watches discovery at this address instead of the former one; does nothing if the address is
   * unchanged.
   */
  void watch(Address address) {
    if (address.equals(discoveryAddress)) {
      return;
    }
    discoveryAddress = address;
    List<EndpointWatch> olderWatches = List.copyOf(watches);
    EndpointWatch watch =
        new EndpointWatch(
            transport,
            address,
            runner.timers(),
            random.split(),
            list -> onEndpointList(list, olderWatches));
    watches.add(watch);
    watch.start();
  }

  private void onEndpointList(EndpointList list, List<EndpointWatch> olderWatches) {
    // Older watches are closed only now: until the new watch has received a list, their lists are
    // valid.
    olderWatches.forEach(EndpointWatch::close);
    watches.removeAll(olderWatches);
    apply(list, list.isSnapshot() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.CHANGES);
    firstList.tryComplete();
  }

  /** Fetches a complete list again and watches for changes after it. */
  void refresh() {
    watches.getLast().start();
  }

  /** Applies a list to the pools, and then to the policy. */
  void apply(EndpointList list, EndpointUpdateKind kind) {
    if (kind == EndpointUpdateKind.SNAPSHOT) {
      pools.retainAll(list.addresses().keySet());
    }
    for (Endpoint endpoint : list.endpoints()) {
      Address address = list.addresses().get(endpoint.id());
      if (endpoint.state() == EndpointState.REMOVED) {
        pools.remove(endpoint.id());
      } else if (address != null) {
        pools.setAddress(endpoint.id(), address);
      }
      pools.setDraining(endpoint.id(), endpoint.state() == EndpointState.DRAINING);
    }
    runner.onEvent(new EndpointUpdate(kind, list.endpoints()));
  }

  /**
   * Returns a future that completes when the first list from discovery has been applied.
   *
   * @param timeoutMicros time after which the future completes in any case; 0 for no timeout
   */
  Future<Void> awaitFirstList(long timeoutMicros) {
    if (timeoutMicros > 0) {
      runner.timers().schedule(timeoutMicros, firstList::tryComplete);
    }
    return firstList.future();
  }

  /** Closes all watches. Idempotent. */
  @Override
  public void close() {
    watches.forEach(EndpointWatch::close);
  }
}
