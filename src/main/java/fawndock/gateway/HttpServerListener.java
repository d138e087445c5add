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
 * Listens for clients, HTTP/1.1 and HTTP/2 in clear text, and closes connections beyond the
 * process's limit. One context.
 */
final class HttpServerListener {
  private static final int MIN_IDLE_TIMEOUT_SECONDS = 120;
  private static final int MAX_STREAMS_PER_CONNECTION = 1_000;

  /** Stream resets a connection may send in the window; cancelled requests are such resets. */
  private static final int MAX_RESETS_PER_WINDOW = 20_000;

  private static final int RESET_WINDOW_SECONDS = 60;

  private final GatewaySettings settings;
  private final AtomicInteger openConnections;
  private final HttpServer server;

  /**
   * A listener that {@link #listen} starts.
   *
   * @param openConnections of the process, all its instances together
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
      var unused = connection.close(); // Nothing is in flight on it.
    }
    connection.closeHandler(closed -> openConnections.decrementAndGet());
  }

  /** Listens; completes with the port. */
  Future<Integer> listen(int port) {
    return server.listen(port, settings.listen().host()).map(HttpServer::actualPort);
  }

  int port() {
    return server.actualPort();
  }

  /** Takes no new connections; completes when the open ones are done, or after the time given. */
  Future<Void> shutdown(long timeoutMillis) {
    return server.shutdown(timeoutMillis, TimeUnit.MILLISECONDS);
  }
}
