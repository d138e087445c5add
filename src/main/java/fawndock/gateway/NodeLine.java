package fawndock.gateway;

import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.redis.client.RedisConnection;
import io.vertx.redis.client.Request;
import io.vertx.redis.client.Response;
import java.util.function.Consumer;

/** Commands to one counter node; what is sent while there is no connection is dropped. */
final class NodeLine implements CounterConnection.Owner {
  private static final long LONGEST_PAUSE = 500_000;
  private final CounterConnection connection;
  private final Context context;
  private final Address address;
  private final int maxCalls;
  private final Runnable connected;
  private final Runnable lost;
  private int out;

  /**
   * @param connected told when a connection is there
   * @param lost told when a connection that was there is gone
   */
  NodeLine(
      Vertx vertx,
      Context context,
      Address address,
      int maxCalls,
      Timers alarms,
      Runnable connected,
      Runnable lost) {
    this.context = context;
    this.address = address;
    this.maxCalls = maxCalls;
    this.connected = connected;
    this.lost = lost;
    connection =
        new CounterConnection(
            vertx,
            context,
            address,
            alarms,
            new CounterConnection.Use("counter node", maxCalls + 64, LONGEST_PAUSE),
            this);
    connection.connect();
  }

  Address address() {
    return address;
  }

  /** Sends a command; not told of anything when there is no connection, or it is lost. */
  void send(Request command, Consumer<AsyncResult<Response>> answered) {
    RedisConnection used = connection.now();
    if (used == null || out >= maxCalls) {
      return;
    }
    out++;
    used.send(command)
        .onComplete(
            answer -> {
              if (used == connection.now()) {
                out--;
                answered.accept(answer);
              }
            });
  }

  @Override
  public Future<?> greet(RedisConnection made) {
    out = 0;
    context.runOnContext(later -> connected.run()); // It can be used when this has returned.
    return Future.succeededFuture();
  }

  @Override
  public void lost() {
    lost.run();
  }

  void close() {
    connection.close();
  }
}
