package fawndock.gateway;

import fawndock.settings.GatewaySettings;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.IdentityHashMap;

/**
 * Connection pools to the backends, one for each backend, over cleartext HTTP/2 with multiplexed
 * streams. It records the last stream id of each GOAWAY frame, since only that id proves which
 * attempts the backend did not process. The pools are confined to one event-loop context.
 */
final class BackendPools {
  private final HttpClient httpClient;

  /**
   * Last stream ids of the connections that received a GOAWAY; connections are compared by identity
   * since they do not define equality.
   */
  private final IdentityHashMap<HttpConnection, Integer> lastStreamIds = new IdentityHashMap<>();

  BackendPools(Vertx vertx, GatewaySettings settings) {
    Context context = vertx.getOrCreateContext();
    httpClient =
        vertx
            .httpClientBuilder()
            .with(clientOptions(settings))
            .with(
                new PoolOptions()
                    .setHttp2MaxSize(settings.http().connectionsPerEndpoint())
                    .setMaxWaitQueueSize(settings.limits().maxInFlight()))
            .withConnectHandler(connection -> onConnected(context, connection))
            .build();
  }

  private static HttpClientOptions clientOptions(GatewaySettings settings) {
    return new HttpClientOptions()
        .setProtocolVersion(HttpVersion.HTTP_2)
        .setHttp2ClearTextUpgrade(false)
        .setHttp2MultiplexingLimit(settings.http().streamsPerConnection())
        .setTcpNoDelay(true)
        .setConnectTimeout((int) Math.max(1, settings.http().connectTimeoutMicros() / 1_000));
  }

  private void onConnected(Context context, HttpConnection connection) {
    connection.goAwayHandler(goAway -> lastStreamIds.put(connection, goAway.getLastStreamId()));
    // The entry is removed in a later turn because the connection's streams fail before the close
    // or in the same turn, and look it up.
    connection.closeHandler(closed -> context.runOnContext(v -> lastStreamIds.remove(connection)));
  }

  /** Opens a stream to a backend on a pooled connection. */
  Future<HttpClientRequest> request(RequestOptions options) {
    return httpClient.request(options);
  }

  /**
   * Returns the id of a connection's last stream that the backend may have processed, or MAX_VALUE
   * without a GOAWAY.
   */
  int lastProcessedStreamId(HttpConnection connection) {
    return lastStreamIds.getOrDefault(connection, Integer.MAX_VALUE);
  }

  /** Closes all connections. Closing them again has no effect. */
  Future<Void> close() {
    return httpClient.close();
  }
}
