package fawndock.platform;

import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Where clients connect. Connections are bounded: when they are spent, one that never said anything
 * makes room first, then the one that has had nothing open for longest; one with a request open
 * never does. One context.
 */
final class ClientListener {
  /**
   * A connection that says nothing, stops within a command, or was told to go is closed after this.
   */
  static final long SILENT_MICROS = 2_000_000;

  /** One whose answers are not read is closed after this. */
  static final long UNREAD_MICROS = 4_000_000;

  /**
   * Long: each close may cross a request, and quiet connections go much sooner where they grow
   * scarce.
   */
  private static final long IDLE_MICROS = 120_000_000;

  /** Nothing open for this long, a connection may be closed without harm to its client. */
  private static final long MAY_CLOSE_MICROS = 2_000_000;

  private static final long CHECK_MICROS = 250_000;
  private final TcpTransport sockets;
  private final PolicyRunner host;
  private final ClientCommand.Terms terms;
  private final int mostConnections;
  private final int mostOpen;
  private final long mostBytes;
  private final Set<ClientConnection> connectionCount = new LinkedHashSet<>();

  /** Those that are half-closed: nothing of theirs is owed, but each still holds its descriptor. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  private final Set<String> ids = new HashSet<>();
  private Channel server;
  private long bytes;
  private boolean isDraining;
  private Runnable whenEmpty;
  private Timers.Timer next;

  /**
   * A front that does not listen yet.
   *
   * @param mostConnections at once
   * @param mostOpen requests at once
   * @param mostBytes of commands that are open, all together
   */
  ClientListener(
      TcpTransport sockets,
      PolicyRunner host,
      ClientCommand.Terms terms,
      int mostConnections,
      int mostOpen,
      long mostBytes) {
    this.sockets = sockets;
    this.host = host;
    this.terms = terms;
    this.mostConnections = mostConnections;
    this.mostOpen = mostOpen;
    this.mostBytes = mostBytes;
  }

  /** Listens; the future fails when that cannot be. */
  ChannelFuture listen(Address address) {
    next = host.timers().schedule(CHECK_MICROS, this::check);
    ChannelFuture bound = sockets.listen(address, () -> new ClientConnection(this));
    server = bound.channel();
    return bound;
  }

  void onAccepted(ClientConnection connection) {
    while (connectionCount.size() + lingering.size() >= mostConnections && !lingering.isEmpty()) {
      ClientConnection oldest = lingering.iterator().next();
      lingering.remove(oldest);
      oldest.closeNow();
    }
    if (connectionCount.size() >= mostConnections && !evictIdle()) {
      connection.close();
    } else {
      connectionCount.add(connection);
    }
  }

  /** A connection was half-closed. */
  void onHalfClosed(ClientConnection connection) {
    if (lingering.add(connection)) {
      connection.whenClosed(
          () -> {
            lingering.remove(connection);
            checkEmpty();
          });
    }
  }

  private boolean evictIdle() {
    ClientConnection idle = null;
    for (ClientConnection each : connectionCount) {
      if (!each.hasSentCommand() && !each.hasPendingResponses()) {
        each.closeGracefully();
        return true;
      }
      if (idle == null && each.isIdle(now(), MAY_CLOSE_MICROS)) {
        idle = each;
      }
    }
    if (idle != null) {
      idle.closeGracefully();
    }
    return idle != null;
  }

  private void check() {
    long now = now();
    List.copyOf(connectionCount).forEach(c -> c.checkLimits(now));
    next = host.timers().schedule(CHECK_MICROS, this::check);
  }

  /** How long a connection may have nothing open: shorter as they grow scarce. */
  long idleMicros() {
    return 2 * connectionCount.size() > mostConnections ? MAY_CLOSE_MICROS : IDLE_MICROS;
  }

  /** Why a command cannot be given to the host, as an error line, or null. */
  String rejection(ClientCommand command) {
    if (ids.contains(command.id())) {
      return "ERR the id is open already";
    }
    return ids.size() >= mostOpen || bytes + command.size() > mostBytes ? "BUSY" : null;
  }

  /** Gives a request to the host; returns the host's number. */
  long submit(ClientExchange exchange) {
    ids.add(exchange.command().id());
    bytes += exchange.command().size();
    return host.onRequest(exchange);
  }

  /** A request has had its answer, or its client has left. */
  void release(ClientExchange exchange) {
    if (ids.remove(exchange.command().id())) {
      bytes -= exchange.command().size();
    }
  }

  void onClientDisconnected(long id) {
    host.onClientDisconnected(id);
  }

  void onClosed(ClientConnection connection) {
    connectionCount.remove(connection);
    checkEmpty();
  }

  /**
   * No connection is accepted any more, and those there are close as soon as nothing is open on
   * them, not even half a command.
   *
   * @param empty is run when the last is closed, on both sides: then nothing is owed to anybody
   */
  void drain(Runnable empty) {
    isDraining = true;
    whenEmpty = empty;
    stopListening();
    List.copyOf(connectionCount).forEach(ClientConnection::closeIfIdle);
    checkEmpty();
  }

  private void checkEmpty() {
    if (whenEmpty != null && connectionCount.isEmpty() && lingering.isEmpty()) {
      Runnable what = whenEmpty;
      whenEmpty = null;
      what.run();
    }
  }

  /**
   * Answers all that is open as failed and closes every connection, in this turn: nothing is read
   * after it.
   */
  void failInFlight() {
    for (ClientConnection each : List.copyOf(connectionCount)) {
      each.failInFlight();
      each.closeGracefully();
    }
  }

  boolean isDraining() {
    return isDraining;
  }

  void stopListening() {
    if (server != null) {
      server.close();
    }
  }

  void close() {
    host.timers().cancel(next);
    List.copyOf(connectionCount).forEach(ClientConnection::closeGracefully);
    stopListening();
  }

  ClientCommand.Terms terms() {
    return terms;
  }

  long now() {
    return host.clock().now();
  }

  int connectionCount() {
    return connectionCount.size();
  }
}
