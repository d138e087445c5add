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
 * Connections to the backends: HTTP/2 in clear text, a pool for each backend, streams shared among
 * requests. Remembers the last stream that a connection's GOAWAY says may be processed, since that
 * alone proves which attempts never ran. One context.
 */
final class BackendPools {
  private final HttpClient httpClient;

  /** By connection that has sent a GOAWAY; they have no equality of their own. */
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
    // In a later turn: the connection's streams fail before, or in the same turn, and look it up.
    connection.closeHandler(closed -> context.runOnContext(v -> lastStreamIds.remove(connection)));
  }

  /** A stream to a backend, on a pooled connection. */
  Future<HttpClientRequest> request(RequestOptions options) {
    return httpClient.request(options);
  }

  /** The last stream of a connection that may be processed: all of them without a GOAWAY. */
  int lastProcessedStreamId(HttpConnection connection) {
    return lastStreamIds.getOrDefault(connection, Integer.MAX_VALUE);
  }

  /** Closes all connections; closing them again has no effect. */
  Future<Void> close() {
    return httpClient.close();
  }
}
