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
 * Applies endpoint lists to the connection pools and to the policy, and holds the watch that brings
 * them. Confined to one event loop.
 */
final class EndpointDirectory implements AutoCloseable {
  private final TcpTransport transport;
  private final PolicyRunner runner;
  private final BackendConnectionPools pools;
  private final SplittableRandom random;
  private final Promise<Void> firstList = Promise.promise();

  /** The newest last; those before it stay open until it has brought its first list. */
  private final ArrayDeque<EndpointWatch> watches = new ArrayDeque<>();

  private Address discoveryAddress;

  /** Creates an empty directory that watches nothing yet. */
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

  /** Watches discovery at this address from now on; does nothing when it does so already. */
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
    // Not closed sooner: until the new watch has brought a list, theirs are valid.
    olderWatches.forEach(EndpointWatch::close);
    watches.removeAll(olderWatches);
    apply(list, list.isSnapshot() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.CHANGES);
    firstList.tryComplete();
  }

  /** Fetches a complete list anew and watches for changes after it. */
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
   * Completes when discovery has brought its first list.
   *
   * @param timeoutMicros after which it completes in any case; 0 to wait without limit
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
