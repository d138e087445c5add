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
 * Accepts clients and bounds their connections, requests and memory. When connections are spent, a
 * half-closed one is closed first, then one that has never sent a command, then an idle one; one
 * with a request in flight never is. Confined to one event loop.
 */
final class ClientListener implements AutoCloseable {
  /**
   * A connection is closed after this time without a first command, with an incomplete command, or
   * after a protocol error.
   */
  static final long SILENT_TIMEOUT_MICROS = 2_000_000;

  /** A connection is closed when its client has not read its responses for this time. */
  static final long UNREAD_TIMEOUT_MICROS = 4_000_000;

  /** Idle time while connections are plenty. Long, as a request may cross each close. */
  private static final long LONG_IDLE_TIMEOUT_MICROS = 120_000_000;

  /** Idle time while connections are scarce; a close after it seldom meets a request. */
  private static final long SHORT_IDLE_TIMEOUT_MICROS = 2_000_000;

  private static final long CHECK_INTERVAL_MICROS = 250_000;

  /**
   * Upper bounds.
   *
   * @param connections at once, half-closed ones included
   * @param requests in flight at once
   * @param requestBytes of all requests in flight
   */
  record Limits(int connections, int requests, long requestBytes) {}

  private final TcpTransport transport;
  private final PolicyRunner runner;
  private final ClientCommandParser parser;
  private final Limits limits;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Half-closed: nothing is in flight on them, but each still holds its descriptor. */
  private final Set<ClientConnection> halfClosedConnections = new LinkedHashSet<>();

  private final Set<String> inFlightIds = new HashSet<>();
  private Channel serverChannel;
  private long inFlightBytes;
  private boolean isDraining;
  private Runnable drainedListener;
  private Timers.Timer checkTimer;

  /** Creates a listener that does not listen yet. */
  ClientListener(
      TcpTransport transport, PolicyRunner runner, ClientCommandParser parser, Limits limits) {
    this.transport = transport;
    this.runner = runner;
    this.parser = parser;
    this.limits = limits;
  }

  /** Listens; the future fails when the address cannot be bound. */
  ChannelFuture listen(Address address) {
    checkTimer = runner.timers().schedule(CHECK_INTERVAL_MICROS, this::checkTimeouts);
    ChannelFuture bound = transport.listen(address, () -> new ClientConnection(this));
    serverChannel = bound.channel();
    return bound;
  }

  void onAccepted(ClientConnection connection) {
    while (connections.size() + halfClosedConnections.size() >= limits.connections()
        && !halfClosedConnections.isEmpty()) {
      ClientConnection oldest = halfClosedConnections.iterator().next();
      halfClosedConnections.remove(oldest);
      oldest.closeNow();
    }
    if (connections.size() >= limits.connections() && !evictIdleConnection()) {
      connection.close();
    } else {
      connections.add(connection);
    }
  }

  void onHalfClosed(ClientConnection connection) {
    if (halfClosedConnections.add(connection)) {
      connection.whenClosed(
          () -> {
            halfClosedConnections.remove(connection);
            notifyIfDrained();
          });
    }
  }

  private boolean evictIdleConnection() {
    ClientConnection idle = null;
    for (ClientConnection connection : connections) {
      if (!connection.hasSentCommand() && !connection.hasPendingResponses()) {
        connection.closeGracefully();
        return true;
      }
      if (idle == null && connection.isIdle(nowMicros(), SHORT_IDLE_TIMEOUT_MICROS)) {
        idle = connection;
      }
    }
    if (idle != null) {
      idle.closeGracefully();
    }
    return idle != null;
  }

  private void checkTimeouts() {
    long nowMicros = nowMicros();
    List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowMicros));
    checkTimer = runner.timers().schedule(CHECK_INTERVAL_MICROS, this::checkTimeouts);
  }

  /** Returns after which time an idle connection is closed. */
  long idleTimeoutMicros() {
    boolean isScarce = 2 * connections.size() > limits.connections();
    return isScarce ? SHORT_IDLE_TIMEOUT_MICROS : LONG_IDLE_TIMEOUT_MICROS;
  }

  /** Returns the error reply to a command that cannot be taken, or null when it can. */
  String admissionError(ClientCommand command) {
    if (inFlightIds.contains(command.id())) {
      return PlatformProtocol.ERROR_DUPLICATE_ID;
    }
    boolean isOverLimit =
        inFlightIds.size() >= limits.requests()
            || inFlightBytes + command.sizeBytes() > limits.requestBytes();
    return isOverLimit ? PlatformProtocol.ERROR_REJECTED : null;
  }

  /** Gives a request to the runner; returns the runner's id of it. */
  long submit(ClientExchange exchange) {
    inFlightIds.add(exchange.command().id());
    inFlightBytes += exchange.command().sizeBytes();
    return runner.onRequest(exchange);
  }

  /** Releases what a request held, as it has its response or its client has disconnected. */
  void release(ClientExchange exchange) {
    if (inFlightIds.remove(exchange.command().id())) {
      inFlightBytes -= exchange.command().sizeBytes();
    }
  }

  void onClientDisconnected(long requestId) {
    runner.onClientDisconnected(requestId);
  }

  void onClosed(ClientConnection connection) {
    connections.remove(connection);
    notifyIfDrained();
  }

  /**
   * Stops accepting, and closes each connection as soon as nothing is in flight on it and no part
   * of a command has come.
   *
   * @param drainedListener is called once the last connection is closed on both sides
   */
  void drain(Runnable drainedListener) {
    isDraining = true;
    this.drainedListener = drainedListener;
    stopAccepting();
    List.copyOf(connections).forEach(ClientConnection::closeIfQuiet);
    notifyIfDrained();
  }

  private void notifyIfDrained() {
    if (drainedListener != null && connections.isEmpty() && halfClosedConnections.isEmpty()) {
      Runnable listener = drainedListener;
      drainedListener = null;
      listener.run();
    }
  }

  /** Fails all requests in flight and closes all connections; nothing is read afterwards. */
  void failInFlight() {
    for (ClientConnection connection : List.copyOf(connections)) {
      connection.failInFlight();
      connection.closeGracefully();
    }
  }

  boolean isDraining() {
    return isDraining;
  }

  private void stopAccepting() {
    if (serverChannel != null) {
      // Nothing follows on it: connections are closed one by one.
      var unused = serverChannel.close();
    }
  }

  /** Closes all connections after what was written. Idempotent. */
  @Override
  public void close() {
    runner.timers().cancel(checkTimer);
    List.copyOf(connections).forEach(ClientConnection::closeGracefully);
    stopAccepting();
  }

  ClientCommandParser parser() {
    return parser;
  }

  long nowMicros() {
    return runner.clock().nowMicros();
  }

  int connectionCount() {
    return connections.size();
  }
}
