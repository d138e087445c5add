package fawndock.gateway;

import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.redis.client.Redis;
import io.vertx.redis.client.RedisConnection;
import io.vertx.redis.client.RedisOptions;
import io.vertx.redis.client.Request;
import io.vertx.redis.client.Response;
import io.vertx.redis.client.impl.types.ErrorType;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connection to one counter server over the Redis serialization protocol (RESP2). At most one
 * connection is open at a time; a lost one is replaced after an exponential backoff. The object is
 * confined to one event-loop context.
 */
final class CounterConnection implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterConnection.class);
  private static final long INITIAL_BACKOFF_MICROS = 50_000;
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

  /**
   * Options of a connection.
   *
   * @param role name of the connection in log lines
   * @param maxPendingReplies limit on the replies that are pending at the same time
   * @param maxBackoffMicros longest delay between attempts to connect
   */
  record Options(String role, int maxPendingReplies, long maxBackoffMicros) {}

  /** Receives changes of the connection state, on the connection's context. */
  interface Listener {
    /**
     * Performs the handshake on a new connection. The connection is used once the future succeeds;
     * it is dropped if that takes longer than the connect timeout.
     */
    Future<?> handshake(RedisConnection newConnection);

    /** Called when the connection can be used, in a turn after the handshake has succeeded. */
    default void onConnected() {}

    /** Called when the connection is lost, before the commands in flight on it fail. */
    void onLost();
  }

  private final Vertx vertx;
  private final Context context;
  private final Address address;
  private final Timers timers;
  private final Options options;
  private final Listener listener;
  private Redis client;
  private RedisConnection connection;
  private int commandsInFlight;
  private long backoffMicros = INITIAL_BACKOFF_MICROS;
  private boolean isClosed;

  /** Creates a connection that {@link #connect} opens. */
  CounterConnection(
      Vertx vertx,
      Context context,
      Address address,
      Timers timers,
      Options options,
      Listener listener) {
    this.vertx = vertx;
    this.context = context;
    this.address = address;
    this.timers = timers;
    this.options = options;
    this.listener = listener;
  }

  Address address() {
    return address;
  }

  /** Returns the open connection, or null if there is none. */
  RedisConnection current() {
    return connection;
  }

  /** Returns whether the failure is an error reply of the server, rather than a missing reply. */
  static boolean isErrorReply(Throwable cause) {
    return cause instanceof ErrorType error && !error.is("CONNECTION_CLOSED");
  }

  /**
   * Sends a command. The command is dropped if there is no connection or the limit of commands in
   * flight is reached. The handler is not called if the connection is lost before the reply.
   */
  void send(Request command, int maxInFlight, Consumer<AsyncResult<Response>> replyHandler) {
    RedisConnection requestConnection = connection;
    if (requestConnection == null || commandsInFlight >= maxInFlight) {
      return;
    }
    commandsInFlight++;
    requestConnection
        .send(command)
        .onComplete(
            reply -> {
              if (requestConnection == connection) {
                commandsInFlight--;
                replyHandler.accept(reply);
              }
            });
  }

  /** Opens the connection, and reopens it after a backoff whenever it is lost. */
  void connect() {
    if (isClosed) {
      return;
    }
    Redis newClient = Redis.createClient(vertx, redisOptions());
    client = newClient;
    // The handshake has no timeout of its own.
    Timers.Timer timeout =
        timers.schedule(
            CONNECT_TIMEOUT_MICROS, () -> reconnect(newClient, "no connection within the timeout"));
    newClient
        .connect()
        .compose(connected -> listener.handshake(connected).map(connected))
        .onComplete(
            connected -> {
              timers.cancel(timeout);
              if (client != newClient || isClosed) {
                newClient.close();
              } else if (connected.failed()) {
                reconnect(newClient, connected.cause().getMessage());
              } else {
                onConnected(connected.result());
              }
            });
  }

  private RedisOptions redisOptions() {
    return new RedisOptions()
        .setConnectionString("redis://" + address)
        .setMaxPoolSize(1)
        .setMaxPoolWaiting(1)
        .setMaxWaitingHandlers(options.maxPendingReplies())
        .setNetClientOptions(
            new NetClientOptions()
                .setTcpNoDelay(true)
                .setConnectTimeout((int) (CONNECT_TIMEOUT_MICROS / 1_000)));
  }

  private void onConnected(RedisConnection connected) {
    connection = connected;
    commandsInFlight = 0;
    backoffMicros = INITIAL_BACKOFF_MICROS;
    connected.exceptionHandler(
        e ->
            context.runOnContext(
                v -> drop(connected, e.getMessage() == null ? "closed" : e.getMessage())));
    connected.endHandler(end -> context.runOnContext(v -> drop(connected, "closed")));
    LOG.info("{} connected: address={}", options.role(), address);
    context.runOnContext(v -> listener.onConnected());
  }

  /** Drops a connection if it is still the current one, and reconnects. */
  void drop(RedisConnection dropped, String reason) {
    if (dropped == connection && dropped != null) {
      Redis droppedClient = client;
      connection = null;
      listener.onLost();
      reconnect(droppedClient, reason);
    }
  }

  private void reconnect(Redis lostClient, String reason) {
    if (isClosed || client != lostClient || connection != null) {
      return;
    }
    client = null;
    lostClient.close(); // This fails the commands in flight.
    LOG.warn(
        "{} connection lost, reconnecting: address={} reason=\"{}\" backoff_ms={}",
        options.role(),
        address,
        reason,
        backoffMicros / 1_000);
    timers.schedule(backoffMicros, this::connect);
    backoffMicros = Math.min(options.maxBackoffMicros(), backoffMicros * 2);
  }

  /** Closes the connection permanently. Closing it again has no effect. */
  @Override
  public void close() {
    isClosed = true;
    connection = null;
    if (client != null) {
      client.close();
    }
  }
}
