package fawndock.platform;

import fawndock.memory.PartialMessageMemory;
import fawndock.policy.config.Idempotency;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.ServerExchange.RequestAttributes;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Accepts client connections and limits their number, requests and memory. At the connection limit
 * it closes a half-closed connection first whose bytes have been sent, then one that has never sent
 * a command, then an idle one, but never one with a request in flight. Confined to one event loop.
 */
final class ClientListener implements AutoCloseable {
  /**
   * Time after which a connection is closed that has sent no first command, and after which an
   * incomplete command is answered with an error.
   */
  static final long COMMAND_TIMEOUT_MICROS = 2_000_000;

  /** Time after which a connection is closed whose client does not read its responses. */
  static final long UNREAD_RESPONSE_TIMEOUT_MICROS = 4_000_000;

  /** The same while the memory for responses is exhausted. */
  private static final long SHORT_UNREAD_RESPONSE_TIMEOUT_MICROS = 1_000_000;

  /**
   * Idle timeout below half of the connection limit. It is long because a request may be in transit
   * whenever a connection is closed.
   */
  private static final long LONG_IDLE_TIMEOUT_MICROS = 120_000_000;

  /**
   * Idle timeout above half of the connection limit. A close after this time seldom coincides with
   * a request.
   */
  private static final long SHORT_IDLE_TIMEOUT_MICROS = 2_000_000;

  private static final long CHECK_INTERVAL_MICROS = 250_000;

  /**
   * Limits of all connections together.
   *
   * @param maxConnections connections, including half-closed ones
   * @param maxRequests requests in flight
   * @param maxRequestBytes bytes held by all requests in flight
   * @param maxResponseBytes bytes held by all responses that cannot be written yet
   * @param maxPartialCommandBytes bytes held by all commands that have been received in part
   */
  record Limits(
      int maxConnections,
      int maxRequests,
      long maxRequestBytes,
      long maxResponseBytes,
      long maxPartialCommandBytes) {}

  private final TcpTransport transport;
  private final PolicyRunner runner;
  private final ClientCommandParser parser;
  private final Limits limits;
  private final ResponseMemory responseMemory;
  private final PartialMessageMemory commandMemory;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Half-closed connections: no request is in flight on them, but their last bytes may be, and each
   * still uses a file descriptor.
   */
  private final Set<ClientConnection> halfClosedConnections = new LinkedHashSet<>();

  private final Set<String> inFlightIds = new HashSet<>();
  private final UnansweredRequests unansweredRequests;
  private Channel serverChannel;
  private long inFlightBytes;
  private boolean isDraining;
  private Runnable drainedListener;
  private Timers.Timer checkTimer;

  /** Creates a listener that does not accept connections yet. */
  ClientListener(
      TcpTransport transport, PolicyRunner runner, ClientCommandParser parser, Limits limits) {
    this.transport = transport;
    this.runner = runner;
    this.parser = parser;
    this.limits = limits;
    this.responseMemory = new ResponseMemory(limits.maxResponseBytes());
    this.unansweredRequests = new UnansweredRequests(runner.clock()::nowMicros);
    this.commandMemory =
        new PartialMessageMemory(limits.maxPartialCommandBytes(), runner.clock()::nowMicros);
  }

  /** Starts to accept connections; the future fails if the address cannot be bound. */
  ChannelFuture listen(Address address) {
    checkTimer = runner.timers().schedule(CHECK_INTERVAL_MICROS, this::checkTimeouts);
    ChannelFuture bound = transport.listen(address, () -> new ClientConnection(this));
    serverChannel = bound.channel();
    return bound;
  }

  void onAccepted(ClientConnection connection) {
    boolean isAtLimit = isAtConnectionLimit();
    while (isAtLimit && closeFlushedConnection()) {
      isAtLimit = isAtConnectionLimit();
    }
    if (isAtLimit && !evictIdleConnection()) {
      connection.close();
    } else {
      connections.add(connection);
    }
  }

  private boolean isAtConnectionLimit() {
    return connections.size() + halfClosedConnections.size() >= limits.maxConnections();
  }

  /** Closes the oldest half-closed connection that owes its client no byte; false without one. */
  private boolean closeFlushedConnection() {
    for (ClientConnection connection : halfClosedConnections) {
      if (connection.isOutputShutDown()) {
        halfClosedConnections.remove(connection);
        connection.closeNow();
        return true;
      }
    }
    return false;
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
    unansweredRequests.removeExpired();
    checkTimer = runner.timers().schedule(CHECK_INTERVAL_MICROS, this::checkTimeouts);
  }

  /** Returns the time after which an idle connection is closed. */
  long idleTimeoutMicros() {
    boolean areConnectionsScarce = 2 * connections.size() > limits.maxConnections();
    return areConnectionsScarce ? SHORT_IDLE_TIMEOUT_MICROS : LONG_IDLE_TIMEOUT_MICROS;
  }

  /** Returns the time after which a connection is closed whose client does not read. */
  long unreadResponseTimeoutMicros() {
    return responseMemory.isExhausted()
        ? SHORT_UNREAD_RESPONSE_TIMEOUT_MICROS
        : UNREAD_RESPONSE_TIMEOUT_MICROS;
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  /** Returns the memory of commands that have been received in part. */
  PartialMessageMemory commandMemory() {
    return commandMemory;
  }

  /**
   * Returns the error reply for a command that is not admitted, or null if it is admitted.
   *
   * @param isQueued whether the response has to wait for an earlier one of the connection
   */
  String admissionError(ClientCommand command, boolean isQueued) {
    if (inFlightIds.contains(command.id()) || unansweredRequests.contains(command.id())) {
      return PlatformProtocol.ERROR_DUPLICATE_ID;
    }
    boolean isOverLimit =
        inFlightIds.size() >= limits.maxRequests()
            || inFlightBytes + command.sizeBytes() > limits.maxRequestBytes()
            || (isQueued && !responseMemory.admitsQueuedRequest());
    return isOverLimit ? PlatformProtocol.ERROR_REJECTED : null;
  }

  /** Submits a request to the runner and returns the runner's id for it. */
  long submit(ClientExchange exchange) {
    inFlightIds.add(exchange.command().id());
    inFlightBytes += exchange.command().sizeBytes();
    return runner.onRequest(exchange);
  }

  /**
   * Releases the id and memory of a request that has its response or whose client has disconnected.
   * In the latter case the id is refused for as long as the client would have waited, if the
   * request may have run and must not run again.
   */
  void release(ClientExchange exchange) {
    if (inFlightIds.remove(exchange.command().id())) {
      inFlightBytes -= exchange.command().sizeBytes();
    }
    RequestAttributes attributes = exchange.requestAttributes();
    if (exchange.mayHaveRunUnanswered()
        && attributes.requestClass().idempotency() != Idempotency.IDEMPOTENT) {
      unansweredRequests.add(exchange.command().id(), attributes.deadlineAtMicros());
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
   * Stops accepting connections, and closes each connection as soon as nothing is in flight on it
   * and it holds no part of a command.
   *
   * @param drainedListener called once the last connection is closed in both directions
   */
  void drain(Runnable drainedListener) {
    isDraining = true;
    this.drainedListener = drainedListener;
    stopAccepting();
    List.copyOf(connections).forEach(ClientConnection::closeIfQuiescent);
    notifyIfDrained();
  }

  private void notifyIfDrained() {
    if (drainedListener != null && connections.isEmpty() && halfClosedConnections.isEmpty()) {
      Runnable listener = drainedListener;
      drainedListener = null;
      listener.run();
    }
  }

  /** Fails all requests in flight and closes all connections. No command is read afterwards. */
  void failRequestsInFlight() {
    for (ClientConnection connection : List.copyOf(connections)) {
      connection.failRequestsInFlight();
      connection.closeGracefully();
    }
  }

  boolean isDraining() {
    return isDraining;
  }

  private void stopAccepting() {
    if (serverChannel != null) {
      // The future is not needed: accepted connections are closed one by one.
      var unused = serverChannel.close();
    }
  }

  /** Closes all connections once everything written has been sent. Idempotent. */
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
