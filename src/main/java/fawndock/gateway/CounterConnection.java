package fawndock.gateway;

import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.redis.client.Redis;
import io.vertx.redis.client.RedisConnection;
import io.vertx.redis.client.RedisOptions;
import io.vertx.redis.client.impl.types.ErrorType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of the Redis serialization protocol at a time, made again after a growing pause
 * when it is lost.
 */
final class CounterConnection {
  private static final Logger LOG = LoggerFactory.getLogger(CounterConnection.class);
  private static final long FIRST_PAUSE = 50_000;
  private static final long CONNECT_MICROS = 1_000_000;

  /**
   * What a connection is for.
   *
   * @param what its name in the log
   * @param handlers answers that may be waited for
   * @param longestPause between tries, in microseconds
   */
  record Use(String what, int handlers, long longestPause) {}

  /** Is told on the context what becomes of the connection. */
  interface Owner {
    /**
     * Greets a new connection; it is used when that has succeeded, within the time limit of
     * connecting.
     */
    Future<?> greet(RedisConnection made);

    /** The connection is lost; what is out on it fails after this. */
    void lost();
  }

  private final Vertx vertx;
  private final Context context;
  private final Address address;
  private final Timers alarms;
  private final Use use;
  private final Owner owner;
  private Redis client;
  private RedisConnection connection;
  private long pause = FIRST_PAUSE;
  private boolean closed;

  CounterConnection(
      Vertx vertx, Context context, Address address, Timers alarms, Use use, Owner owner) {
    this.vertx = vertx;
    this.context = context;
    this.address = address;
    this.alarms = alarms;
    this.use = use;
    this.owner = owner;
  }

  /** The connection that there is, or null. */
  RedisConnection now() {
    return connection;
  }

  /** Whether the server answered with an error, rather than not at all. */
  static boolean refused(Throwable cause) {
    return cause instanceof ErrorType told && !told.is("CONNECTION_CLOSED");
  }

  void connect() {
    if (closed) {
      return;
    }
    Redis making =
        Redis.createClient(
            vertx,
            new RedisOptions()
                .setConnectionString("redis://" + address)
                .setMaxPoolSize(1)
                .setMaxPoolWaiting(1)
                .setMaxWaitingHandlers(use.handlers)
                .setNetClientOptions(
                    new NetClientOptions()
                        .setTcpNoDelay(true)
                        .setConnectTimeout((int) (CONNECT_MICROS / 1_000))));
    client = making;
    // The greeting has no time limit of its own.
    Timers.Timer limit = alarms.schedule(CONNECT_MICROS, () -> again(making, "no greeting"));
    making
        .connect()
        .compose(made -> owner.greet(made).map(made))
        .onComplete(
            made -> {
              alarms.cancel(limit);
              if (client != making || closed) {
                making.close();
              } else if (made.failed()) {
                again(making, made.cause().getMessage());
              } else {
                ready(made.result());
              }
            });
  }

  private void ready(RedisConnection made) {
    connection = made;
    pause = FIRST_PAUSE;
    made.exceptionHandler(
        e ->
            context.runOnContext(
                v -> lost(made, e.getMessage() == null ? "closed" : e.getMessage())));
    made.endHandler(e -> context.runOnContext(v -> lost(made, "closed")));
    LOG.info("{} {} connected", use.what, address);
  }

  /** Gives up this connection, if it is still the one. */
  void lost(RedisConnection which, String why) {
    if (which == connection && which != null) {
      Redis of = client;
      connection = null;
      owner.lost();
      again(of, why);
    }
  }

  private void again(Redis which, String why) {
    if (closed || client != which || connection != null) {
      return;
    }
    client = null;
    which.close(); // Fails the calls that are out.
    LOG.warn("{} {} lost ({}), trying again in {} ms", use.what, address, why, pause / 1_000);
    alarms.schedule(pause, this::connect);
    pause = Math.min(use.longestPause, pause * 2);
  }

  void close() {
    closed = true;
    connection = null;
    if (client != null) {
      client.close();
    }
  }
}
