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
 * The connection to one counter server, in the Redis serialization protocol (RESP2). There is one
 * at a time; a lost one is replaced after an exponential backoff. One context.
 */
final class CounterConnection implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CounterConnection.class);
  private static final long INITIAL_BACKOFF_MICROS = 50_000;
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

  /**
   * How a connection is used.
   *
   * @param role its name in the log
   * @param maxPendingReplies replies that may be pending at once
   * @param maxBackoffMicros between attempts to connect
   */
  record Options(String role, int maxPendingReplies, long maxBackoffMicros) {}

  /** Receives the connection's changes, on its context. */
  interface Listener {
    /** Greets a new connection; it is used when that has succeeded, within the connect timeout. */
    Future<?> onConnecting(RedisConnection connecting);

    /** The connection can be used, from the next turn of the context on. */
    default void onConnected() {}

    /** The connection is lost; what is in flight on it fails after this. */
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

  /** A connection that {@link #connect} opens. */
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

  /** The open connection, or null. */
  RedisConnection current() {
    return connection;
  }

  /** Whether the server replied with an error, rather than not at all. */
  static boolean isErrorReply(Throwable cause) {
    return cause instanceof ErrorType error && !error.is("CONNECTION_CLOSED");
  }

  /**
   * Sends a command. Dropped when there is no connection or too many commands are in flight; the
   * reply is not given when the connection is lost before.
   */
  void send(Request command, int maxInFlight, Consumer<AsyncResult<Response>> replyHandler) {
    RedisConnection used = connection;
    if (used == null || commandsInFlight >= maxInFlight) {
      return;
    }
    commandsInFlight++;
    used.send(command)
        .onComplete(
            reply -> {
              if (used == connection) {
                commandsInFlight--;
                replyHandler.accept(reply);
              }
            });
  }

  void connect() {
    if (isClosed) {
      return;
    }
    Redis connecting = Redis.createClient(vertx, redisOptions());
    client = connecting;
    // The greeting has no timeout of its own.
    Timers.Timer timeout =
        timers.schedule(CONNECT_TIMEOUT_MICROS, () -> reconnect(connecting, "no greeting"));
    connecting
        .connect()
        .compose(connected -> listener.onConnecting(connected).map(connected))
        .onComplete(
            connected -> {
              timers.cancel(timeout);
              if (client != connecting || isClosed) {
                connecting.close();
              } else if (connected.failed()) {
                reconnect(connecting, connected.cause().getMessage());
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

  /** Gives up a connection, if it is still the current one, and connects again. */
  void drop(RedisConnection dropped, String reason) {
    if (dropped == connection && dropped != null) {
      Redis droppedClient = client;
      connection = null;
      listener.onLost();
      reconnect(droppedClient, reason);
    }
  }

  private void reconnect(Redis lost, String reason) {
    if (isClosed || client != lost || connection != null) {
      return;
    }
    client = null;
    lost.close(); // Fails the commands in flight.
    LOG.warn(
        "{} connection lost, reconnecting: address={} reason=\"{}\" backoff_ms={}",
        options.role(),
        address,
        reason,
        backoffMicros / 1_000);
    timers.schedule(backoffMicros, this::connect);
    backoffMicros = Math.min(options.maxBackoffMicros(), backoffMicros * 2);
  }

  /** Closes the connection for good; closing it again has no effect. */
  @Override
  public void close() {
    isClosed = true;
    connection = null;
    if (client != null) {
      client.close();
    }
  }
}
