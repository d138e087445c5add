package fawndock.benchmark;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * A reverse proxy on one event loop without admission control, as the baseline for the overhead of
 * the gateway.
 */
public final class BareProxy {
  private final HttpClient client;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final int workerPort;

  public BareProxy(int workerPort) {
    this.workerPort = workerPort;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_2)
                .setHttp2ClearTextUpgrade(false)
                .setTcpNoDelay(true),
            new PoolOptions().setHttp2MaxSize(2));
  }

  /** Starts listening; the future completes with the port. */
  public Future<Integer> start() {
    return vertx
        .createHttpServer(new HttpServerOptions().setTcpNoDelay(true))
        .requestHandler(this::forward)
        .listen(0, "127.0.0.1")
        .map(server -> server.actualPort());
  }

  private void forward(HttpServerRequest request) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(request.headers());
    headers.remove("host").remove("connection");
    request
        .body()
        .compose(
            body ->
                client
                    .request(
                        new RequestOptions()
                            .setMethod(request.method())
                            .setHost("127.0.0.1")
                            .setPort(workerPort)
                            .setURI(request.uri())
                            .setHeaders(headers))
                    .compose(backendRequest -> backendRequest.send(body)))
        .compose(
            backendResponse ->
                backendResponse
                    .body()
                    .onSuccess(
                        body -> {
                          request.response().setStatusCode(backendResponse.statusCode());
                          backendResponse
                              .headers()
                              .forEach((name, value) -> request.response().putHeader(name, value));
                          request.response().end(body);
                        }))
        .onFailure(e -> request.response().setStatusCode(502).end());
  }
}
