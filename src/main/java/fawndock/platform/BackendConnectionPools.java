package fawndock.platform;

import fawndock.settings.Address;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Connections to the backends, with one pool for each endpoint. Together they are bounded: when
 * they are spent, the connection that has been idle longest is closed, whatever its endpoint.
 * Confined to one event loop.
 */
final class BackendConnectionPools implements AutoCloseable {
  /**
   * A connection is not reused before it has been idle for this time, so that a second copy of a
   * response, some milliseconds late, is not taken for the next one's. May open more connections
   * when attempts come close together.
   */
  private static final long REUSE_DELAY_MICROS = 30_000;

  /**
   * Limits of all pools together.
   *
   * @param connections at once
   * @param connectTimeoutMicros longest time for a connection to come up
   * @param idleTimeoutMicros after which an idle connection is closed
   */
  record Limits(int maxConnections, long connectTimeoutMicros, long idleTimeoutMicros) {}

  /** The connections of one endpoint at one address. */
  static final class EndpointPool {
    final Address address;

    /** Idle connections, the longest idle first. */
    final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>(4);

    private boolean isDraining;

    private EndpointPool(Address address) {
      this.address = address;
    }
  }

  private final TcpTransport transport;
  private final LongSupplier clockMicros;
  private final ActivitySummary activity;
  private final Limits limits;
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private int openConnectionCount;

  /** Creates empty pools. */
  BackendConnectionPools(
      TcpTransport transport, LongSupplier clockMicros, ActivitySummary activity, Limits limits) {
    this.transport = transport;
    this.clockMicros = clockMicros;
    this.activity = activity;
    this.limits = limits;
  }

  /** Sets where an endpoint listens; connections to another address are closed once idle. */
  void setAddress(String endpointId, Address address) {
    EndpointPool pool = pools.get(endpointId);
    if (pool == null || !pool.address.equals(address)) {
      remove(endpointId);
      pools.put(endpointId, new EndpointPool(address));
    }
  }

  /** Sets whether an endpoint is draining; does nothing for an unknown one. */
  void setDraining(String endpointId, boolean isDraining) {
    EndpointPool pool = pools.get(endpointId);
    if (pool != null) {
      pool.isDraining = isDraining;
    }
  }

  /** Returns whether an endpoint is draining or unknown: nothing new may be sent to it. */
  boolean isUnavailable(String endpointId) {
    EndpointPool pool = pools.get(endpointId);
    return pool == null || pool.isDraining;
  }

  /** Removes an endpoint: its idle connections are closed now, those in use after their attempt. */
  void remove(String endpointId) {
    EndpointPool pool = pools.remove(endpointId);
    while (pool != null && !pool.idleConnections.isEmpty()) {
      pool.idleConnections.peek().abort();
    }
  }

  /** Removes all endpoints but these. */
  void retainAll(Set<String> endpointIds) {
    for (String endpointId : List.copyOf(pools.keySet())) {
      if (!endpointIds.contains(endpointId)) {
        remove(endpointId);
      }
    }
  }

  /** Gives an attempt a connection, now or once one is up, or tells it that there is none. */
  void acquire(String endpointId, BackendAttempt attempt) {
    EndpointPool pool = pools.get(endpointId);
    if (pool == null) {
      attempt.onUnknownEndpoint();
      return;
    }
    PooledConnection reusable = pollReusable(pool);
    if (reusable != null) {
      reusable.assign(attempt);
    } else if (openConnectionCount >= limits.maxConnections() && !evictIdleConnection()) {
      attempt.onConnectFailed();
    } else {
      openConnectionCount++;
      // Not kept here: it calls the attempt once it is up, and joins the pool when released.
      var unused = new PooledConnection(this, pool, attempt);
    }
  }

  /** Takes the connection that was used last of those that may be reused; null without one. */
  private PooledConnection pollReusable(EndpointPool pool) {
    long reuseCutoffMicros = nowMicros() - REUSE_DELAY_MICROS;
    for (Iterator<PooledConnection> iterator = pool.idleConnections.descendingIterator();
        iterator.hasNext(); ) {
      PooledConnection connection = iterator.next();
      if (connection.idleSinceMicros() <= reuseCutoffMicros) {
        iterator.remove();
        return connection;
      }
    }
    return null;
  }

  private boolean evictIdleConnection() {
    PooledConnection oldest = null;
    for (EndpointPool pool : pools.values()) {
      PooledConnection longestIdle = pool.idleConnections.peek();
      if (longestIdle != null
          && (oldest == null || longestIdle.idleSinceMicros() < oldest.idleSinceMicros())) {
        oldest = longestIdle;
      }
    }
    if (oldest != null) {
      oldest.abort();
    }
    return oldest != null;
  }

  /** Closes connections that have been idle for too long; to be called every second or so. */
  void closeIdleConnections() {
    long idleCutoffMicros = nowMicros() - limits.idleTimeoutMicros();
    for (EndpointPool pool : pools.values()) {
      while (!pool.idleConnections.isEmpty()
          && pool.idleConnections.peek().idleSinceMicros() < idleCutoffMicros) {
        pool.idleConnections.peek().abort();
      }
    }
  }

  /** Forgets a connection that is closed. */
  void onConnectionClosed(EndpointPool pool, PooledConnection connection) {
    pool.idleConnections.remove(connection);
    openConnectionCount--;
  }

  /** Returns whether a pool's endpoint still listens at the pool's address. */
  boolean isCurrent(EndpointPool pool) {
    return pools.containsValue(pool);
  }

  /** Runs a task after all that has come in this turn of the event loop has been read. */
  void runAfterReads(Runnable task) {
    transport.runAfterReads(task);
  }

  TcpTransport transport() {
    return transport;
  }

  ActivitySummary activity() {
    return activity;
  }

  long connectTimeoutMicros() {
    return limits.connectTimeoutMicros();
  }

  long nowMicros() {
    return clockMicros.getAsLong();
  }

  int openConnectionCount() {
    return openConnectionCount;
  }

  /** Closes all idle connections; those in use close with their attempt. Idempotent. */
  @Override
  public void close() {
    List.copyOf(pools.keySet()).forEach(this::remove);
  }
}
