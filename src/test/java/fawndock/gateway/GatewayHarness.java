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

/** A daemon with a scripted gatekeeper and one worker, on free loopback ports. */
final class GatewayHarness implements AutoCloseable {
  final Vertx vertx = Vertx.vertx();
  final ScriptedPolicy policy = new ScriptedPolicy();
  final HttpClient http = HttpClient.newHttpClient();
  GatewayServer server;
  HttpServer backend;
  int port;

  GatewayHarness(Handler<HttpServerRequest> worker, String... lines) throws Exception {
    this.backend =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setHttp2ClearTextEnabled(true)
                    .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(20_000)))
            .requestHandler(worker);
    int workerPort = await(this.backend.listen(0, "127.0.0.1")).actualPort();
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
            + (String.join(" ", lines).contains("stop ") ? "" : "stop 1s\n")
            + String.join("\n", lines)
            + (String.join("", lines).contains("roster")
                ? ""
                : "\nserver w 127.0.0.1:" + workerPort)
            + "\n");
    GatewaySettings settings = GatewaySettingsFile.read(file);
    Files.delete(file);
    AtomicInteger made = new AtomicInteger();
    server =
        new GatewayServer(
            settings, s -> made.getAndIncrement() == 0 ? policy : new ScriptedPolicy());
    port = await(server.start());
  }

  static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /** Waits for something that can only be asked for. */
  static void awaitTrue(java.util.function.BooleanSupplier what) {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!what.getAsBoolean()) {
      if (System.nanoTime() > limit) {
        throw new AssertionError("it never came");
      }
      Thread.onSpinWait();
    }
  }

  HttpRequest.Builder to(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .header("x-api-key", "k1")
        .version(HttpClient.Version.HTTP_1_1);
  }

  CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> get(String path) throws Exception {
    return send(to(path)).get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws Exception {
    server.stopAndWait();
    await(vertx.close());
  }
}
