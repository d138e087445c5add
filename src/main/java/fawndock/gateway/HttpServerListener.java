package fawndock.gateway;

import fawndock.policy.config.RequestClass;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Listens for clients over HTTP/1.1 and cleartext HTTP/2, and closes connections above the
 * process's limit. The listener is confined to one event-loop context.
 */
final class HttpServerListener {
  private static final int MIN_IDLE_TIMEOUT_SECONDS = 120;
  private static final int MAX_STREAMS_PER_CONNECTION = 1_000;

  /**
   * Limit on the stream resets of one connection in a window; each request that a client cancels is
   * such a reset.
   */
  private static final int MAX_RESETS_PER_WINDOW = 20_000;

  private static final int RESET_WINDOW_SECONDS = 60;

  private final GatewaySettings settings;
  private final AtomicInteger openConnections;
  private final HttpServer server;

  /**
   * Creates a listener that {@link #listen} starts.
   *
   * @param openConnections number of open client connections of all instances of the process
   */
  HttpServerListener(
      Vertx vertx,
      GatewaySettings settings,
      AtomicInteger openConnections,
      RequestHandler requestHandler) {
    this.settings = settings;
    this.openConnections = openConnections;
    server =
        vertx
            .createHttpServer(options(settings))
            .connectionHandler(this::onConnection)
            .requestHandler(requestHandler::handle);
  }

  private static HttpServerOptions options(GatewaySettings settings) {
    long longestDeadlineSeconds =
        settings.classes().stream().mapToLong(RequestClass::deadlineMicros).max().orElse(0)
            / 1_000_000;
    return new HttpServerOptions()
        .setHttp2ClearTextEnabled(true)
        .setTcpNoDelay(true)
        .setHandle100ContinueAutomatically(true)
        .setIdleTimeout((int) Math.max(MIN_IDLE_TIMEOUT_SECONDS, 2 * longestDeadlineSeconds))
        .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(MAX_STREAMS_PER_CONNECTION))
        .setHttp2RstFloodMaxRstFramePerWindow(MAX_RESETS_PER_WINDOW)
        .setHttp2RstFloodWindowDuration(RESET_WINDOW_SECONDS)
        .setHttp2RstFloodWindowDurationTimeUnit(TimeUnit.SECONDS);
  }

  private void onConnection(HttpConnection connection) {
    if (openConnections.incrementAndGet() > settings.http().maxClientConnections()) {
      var unused = connection.close(); // No request is in flight on it.
    }
    connection.closeHandler(closed -> openConnections.decrementAndGet());
  }

  /** Starts listening; the future completes with the bound port. */
  Future<Integer> listen(int port) {
    return server.listen(port, settings.listen().host()).map(HttpServer::actualPort);
  }

  int port() {
    return server.actualPort();
  }

  /**
   * Stops accepting connections. The future completes when the open connections are done, or after
   * the timeout.
   */
  Future<Void> shutdown(long timeoutMillis) {
    return server.shutdown(timeoutMillis, TimeUnit.MILLISECONDS);
  }
}
