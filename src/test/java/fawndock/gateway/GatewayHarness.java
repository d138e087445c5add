package fawndock.gateway;

import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway with a scripted policy and one backend, on free loopback ports, for tests. */
final class GatewayHarness implements AutoCloseable {
  final Vertx vertx = Vertx.vertx();
  final ScriptedPolicy policy = new ScriptedPolicy();
  final HttpClient httpClient = HttpClient.newHttpClient();
  GatewayServer server;
  HttpServer backend;
  int port;

  /** Starts the backend and the gateway; the lines are added to the default settings. */
  GatewayHarness(Handler<HttpServerRequest> backendHandler, String... settingsLines)
      throws Exception {
    this.backend =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setHttp2ClearTextEnabled(true)
                    .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(20_000)))
            .requestHandler(backendHandler);
    int backendPort = await(this.backend.listen(0, "127.0.0.1")).actualPort();
    Path file = Files.createTempFile("fawndock", ".conf");
    Files.writeString(
        file,
        """
                listen 127.0.0.1:0
                class lookup aim 500ms deadline 40s repeat idempotent
                class stream aim 500ms deadline 40s repeat idempotent streamed yes
                class update aim 500ms deadline 40s repeat deduplicated group all window 5s
                route * /lookup lookup
                route * /stream stream
                route PUT /update update
                plan basic rate 2 store 8
                key k1 customer one plan basic
                """
            + (String.join(" ", settingsLines).contains("stop ") ? "" : "stop 1s\n")
            + String.join("\n", settingsLines)
            + (String.join("", settingsLines).contains("roster")
                ? ""
                : "\nserver w 127.0.0.1:" + backendPort)
            + "\n");
    GatewaySettings settings = GatewaySettingsFile.read(file);
    Files.delete(file);
    AtomicInteger policyCount = new AtomicInteger();
    server =
        new GatewayServer(
            settings, config -> policyCount.getAndIncrement() == 0 ? policy : new ScriptedPolicy());
    port = await(server.start());
  }

  /** Returns the result of a future; waits for it for up to 20 s. */
  static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /** Polls a condition until it holds, for up to 20 s. */
  static void awaitTrue(java.util.function.BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("the condition did not hold within 20 s");
      }
      Thread.onSpinWait();
    }
  }

  /** Returns a request to the gateway with a valid API key. */
  HttpRequest.Builder requestTo(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .header("x-api-key", "k1")
        .version(HttpClient.Version.HTTP_1_1);
  }

  CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
    return httpClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> get(String path) throws Exception {
    return send(requestTo(path)).get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws Exception {
    server.stopAndWait();
    await(vertx.close());
  }
}
