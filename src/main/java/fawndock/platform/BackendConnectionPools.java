package fawndock.platform;

import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Connections to the workers, a pool for each worker by its id. A connection carries one attempt at
 * a time. All of them together are bounded; when they are spent the one that has been idle longest,
 * of any worker, makes room. One context.
 */
final class BackendConnectionPools {
  /**
   * A connection rests so long before it is used again. Guards against a second copy of an answer,
   * some milliseconds behind it, being taken for the next one's; may open a connection more when
   * attempts come closer together.
   */
  private static final long REST_MICROS = 30_000;

  private static final int LONGEST_VALUE = 64 << 10;
  private static final int LONGEST_LINE = 1_024;
  private static final int PARTS = 8;
  private static final ReplyReader READER = new ReplyReader(LONGEST_VALUE, LONGEST_LINE, PARTS);

  /** Idle connections of one worker, the longest idle first. */
  private static final class Pool {
    final Address address;
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>(4);
    boolean draining;

    Pool(Address address) {
      this.address = address;
    }
  }

  /** One connection, leased to an attempt or idle. */
  final class PooledConnection implements RespConnection.Listener {
    private final Pool pool;
    private final RespConnection connection;
    private BackendAttempt call;
    private long idleSince;

    private PooledConnection(Pool pool, BackendAttempt call) {
      this.pool = pool;
      this.call = call;
      open++;
      connection = new RespConnection(sockets, pool.address, connectMicros, READER, this);
    }

    RespConnection connection() {
      return connection;
    }

    /** What comes while nothing was asked is a late second copy, or noise. */
    @Override
    public boolean expectsReply() {
      return call != null && call.sent();
    }

    @Override
    public void onConnected() {
      if (!call.connected(this)) {
        rest(); // Its attempt has ended meanwhile; the connection is as good as any.
      }
    }

    @Override
    public void onReply(Reply reply, boolean more) {
      BackendAttempt of = call;
      call = null;
      // Before it is told: what is sent on hearing of it may want the connection.
      BackendReply answer = BackendReply.of(reply);
      if (reply.isError() || !answer.isConnectionReusable()) {
        figures.recordError(reply.type() + reply.text());
      }
      if (more || !answer.isConnectionReusable()) {
        abandon();
      } else {
        rest();
      }
      of.replied(answer);
    }

    @Override
    public void onProtocolError(String why) {
      figures.recordError(why);
      gone();
      if (call != null) {
        call.spoilt();
      }
    }

    @Override
    public void onClosed(boolean wasUp) {
      gone();
      if (call != null && wasUp) {
        call.broken();
      } else if (call != null) {
        call.unconnected();
      }
    }

    /** Nothing is out on it any more: it waits for its next attempt. */
    void rest() {
      call = null;
      if (pools.containsValue(pool)) {
        idleSince = now.getAsLong();
        pool.idle.add(this);
      } else {
        abandon();
      }
    }

    private void gone() {
      pool.idle.remove(this);
      open--;
    }

    /** Ends the connection. */
    void abandon() {
      call = null;
      gone();
      connection.close();
    }
  }

  private final TcpTransport sockets;
  private final LongSupplier now;
  private final ActivitySummary figures;
  private final int most;
  private final long connectMicros;
  private final long idleMicros;
  private final Map<String, Pool> pools = new HashMap<>();
  private int open;

  /**
   * No connection is open yet.
   *
   * @param now microseconds
   * @param most connections in all
   * @param idleMicros after which an idle one is closed
   */
  BackendConnectionPools(
      TcpTransport sockets,
      LongSupplier now,
      ActivitySummary figures,
      int most,
      long connectMicros,
      long idleMicros) {
    this.sockets = sockets;
    this.connectMicros = connectMicros;
    this.now = now;
    this.figures = figures;
    this.most = most;
    this.idleMicros = idleMicros;
  }

  /**
   * Where a worker listens now; connections to another address of it are given up when they are
   * idle.
   */
  void address(String server, Address address) {
    Pool pool = pools.get(server);
    if (pool == null
        || pool.address.port() != address.port()
        || !pool.address.host().equals(address.host())) {
      forget(server);
      pools.put(server, new Pool(address));
    }
  }

  /** A worker is said to drain, or to be ready. */
  void draining(String server, boolean is) {
    Pool pool = pools.get(server);
    if (pool != null) {
      pool.draining = is;
    }
  }

  /** Whether a worker is said to drain or to be gone: nothing new may be written to it. */
  boolean closedToNew(String server) {
    Pool pool = pools.get(server);
    return pool == null || pool.draining;
  }

  /** A worker is gone: its idle connections end now, those in use with their attempt. */
  void forget(String server) {
    Pool pool = pools.remove(server);
    while (pool != null && !pool.idle.isEmpty()) {
      pool.idle.peek().abandon();
    }
  }

  /** Forgets all workers but these. */
  void keep(Set<String> servers) {
    List.copyOf(pools.keySet()).stream().filter(s -> !servers.contains(s)).forEach(this::forget);
  }

  /** Gives a call a connection, now or when one is up, or tells it that there is none. */
  void lease(String server, BackendAttempt call) {
    Pool pool = pools.get(server);
    if (pool == null) {
      call.unknown();
      return;
    }
    long rested = now.getAsLong() - REST_MICROS;
    for (Iterator<PooledConnection> i = pool.idle.descendingIterator(); i.hasNext(); ) {
      PooledConnection lease = i.next();
      if (lease.idleSince <= rested) {
        i.remove();
        lease.call = call;
        call.connected(lease);
        return;
      }
    }
    if (open >= most && !evict()) {
      call.unconnected();
      return;
    }
    new PooledConnection(pool, call);
  }

  /** Runs something after all that has come in this turn of the loop has been taken in. */
  void later(Runnable what) {
    sockets.runAfterReads(what);
  }

  private boolean evict() {
    PooledConnection oldest = null;
    for (Pool pool : pools.values()) {
      PooledConnection first = pool.idle.peek();
      if (first != null && (oldest == null || first.idleSince < oldest.idleSince)) {
        oldest = first;
      }
    }
    if (oldest != null) {
      oldest.abandon();
    }
    return oldest != null;
  }

  /** Closes what has been idle for long; to be called every second or so. */
  void sweep() {
    long since = now.getAsLong() - idleMicros;
    for (Pool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peek().idleSince < since) {
        pool.idle.peek().abandon();
      }
    }
  }

  ActivitySummary figures() {
    return figures;
  }

  int open() {
    return open;
  }

  void close() {
    List.copyOf(pools.keySet()).forEach(this::forget);
  }
}
