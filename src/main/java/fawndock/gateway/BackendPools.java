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
import java.util.Map;

/**
 * Connections to the workers: HTTP/2 without TLS, a pool for each worker, streams shared among
 * requests. Remembers the last stream that a connection's GOAWAY says may be processed, since that
 * alone proves which attempts never ran.
 */
final class BackendPools {
  private final HttpClient http;
  private final Map<HttpConnection, Integer> lastStreamIds = new IdentityHashMap<>();

  BackendPools(Vertx vertx, GatewaySettings settings) {
    Context context = vertx.getOrCreateContext();
    http =
        vertx
            .httpClientBuilder()
            .with(
                new HttpClientOptions()
                    .setProtocolVersion(HttpVersion.HTTP_2)
                    .setHttp2ClearTextUpgrade(false)
                    .setHttp2MultiplexingLimit(settings.http().streamsPerConnection())
                    .setTcpNoDelay(true)
                    .setConnectTimeout(
                        (int) Math.max(1, settings.http().connectTimeoutMicros() / 1_000)))
            .with(
                new PoolOptions()
                    .setHttp2MaxSize(settings.http().connectionsPerEndpoint())
                    .setMaxWaitQueueSize(settings.limits().maxInFlight()))
            .withConnectHandler(
                connection -> {
                  connection.goAwayHandler(
                      goAway -> lastStreamIds.put(connection, goAway.getLastStreamId()));
                  // Its streams are told of the end before, or in the same turn.
                  connection.closeHandler(
                      closed -> context.runOnContext(v -> lastStreamIds.remove(connection)));
                })
            .build();
  }

  Future<HttpClientRequest> request(RequestOptions options) {
    return http.request(options);
  }

  /**
   * The last stream of a connection that may be processed: all of them while it has not gone away.
   */
  int lastProcessedStreamId(HttpConnection connection) {
    return lastStreamIds.getOrDefault(connection, Integer.MAX_VALUE);
  }

  Future<Void> close() {
    return http.close();
  }
}
