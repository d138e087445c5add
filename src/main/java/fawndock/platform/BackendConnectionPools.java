package fawndock.platform;

import fawndock.memory.PartialMessageMemory;
import fawndock.settings.Address;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The connections to the backends, in one pool for each endpoint. The total number is limited: at
 * the limit, a new connection replaces the one that has been idle longest, whatever its endpoint.
 * Confined to one event loop.
 */
final class BackendConnectionPools implements AutoCloseable {
  /**
   * A connection is reused only after it has been idle for this time, so that a duplicate response
   * that arrives some milliseconds late is not taken for the response to the next request. Attempts
   * in quick succession may therefore open more connections.
   */
  private static final long REUSE_DELAY_MICROS = 30_000;

  /**
   * Limits of all pools together.
   *
   * @param maxConnections open connections of all pools
   * @param connectTimeoutMicros timeout for opening a connection
   * @param idleTimeoutMicros time after which an idle connection is closed
   * @param maxPartialReplyBytes bytes held by all replies that have been received in part
   */
  record Limits(
      int maxConnections,
      long connectTimeoutMicros,
      long idleTimeoutMicros,
      long maxPartialReplyBytes) {}

  /** The pool of one endpoint at one address. */
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
  private final PartialMessageMemory replyMemory;
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private int openConnectionCount;

  /** Creates empty pools. */
  BackendConnectionPools(
      TcpTransport transport, LongSupplier clockMicros, ActivitySummary activity, Limits limits) {
    this.transport = transport;
    this.clockMicros = clockMicros;
    this.activity = activity;
    this.limits = limits;
    replyMemory = new PartialMessageMemory(limits.maxPartialReplyBytes(), clockMicros);
  }

  /** Sets an endpoint's address. Connections to its former address are closed once idle. */
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

  /**
   * Returns whether an endpoint is draining or unknown, so that no new request may be sent to it.
   */
  boolean isUnavailable(String endpointId) {
    EndpointPool pool = pools.get(endpointId);
    return pool == null || pool.isDraining;
  }

  /**
   * Removes an endpoint. Its idle connections are closed now, those in use when their attempt ends.
   */
  void remove(String endpointId) {
    EndpointPool pool = pools.remove(endpointId);
    while (pool != null && !pool.idleConnections.isEmpty()) {
      pool.idleConnections.peek().abort();
    }
  }

  /** Removes all endpoints except these. */
  void retainAll(Set<String> endpointIds) {
    for (String endpointId : List.copyOf(pools.keySet())) {
      if (!endpointIds.contains(endpointId)) {
        remove(endpointId);
      }
    }
  }

  /**
   * Assigns a connection to an attempt, now or once one is open, or notifies it that none is
   * available.
   */
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
      // The pool holds no reference yet: the connection calls the attempt once it is open, and is
      // added to the pool when released.
      var unused = new PooledConnection(this, pool, attempt);
    }
  }

  /**
   * Removes and returns the most recently used of the reusable connections, or null if there is
   * none.
   */
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

  /** Closes connections that have exceeded the idle timeout. Call this about once a second. */
  void closeIdleConnections() {
    long idleCutoffMicros = nowMicros() - limits.idleTimeoutMicros();
    for (EndpointPool pool : pools.values()) {
      while (!pool.idleConnections.isEmpty()
          && pool.idleConnections.peek().idleSinceMicros() < idleCutoffMicros) {
        pool.idleConnections.peek().abort();
      }
    }
  }

  /** Removes a closed connection from its pool. */
  void onConnectionClosed(EndpointPool pool, PooledConnection connection) {
    pool.idleConnections.remove(connection);
    replyMemory.release(connection);
    openConnectionCount--;
  }

  /**
   * Returns whether a pool is in use, rather than removed or replaced by one at another address.
   */
  boolean isCurrent(EndpointPool pool) {
    return pools.containsValue(pool);
  }

  /**
   * Runs a task after all bytes that have arrived in this turn of the event loop have been read.
   */
  void runAfterReads(Runnable task) {
    transport.runAfterReads(task);
  }

  TcpTransport transport() {
    return transport;
  }

  ActivitySummary activity() {
    return activity;
  }

  /** Returns the memory of replies that have been received in part. */
  PartialMessageMemory replyMemory() {
    return replyMemory;
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

  /** Closes all idle connections. Those in use are closed when their attempt ends. Idempotent. */
  @Override
  public void close() {
    List.copyOf(pools.keySet()).forEach(this::remove);
  }
}
