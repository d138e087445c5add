package fawndock.scenario;

import fawndock.fake.FaultInjectingProxy;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The counter of a drill: the project's own in a process of its own, behind a network that can
 * fail.
 */
public final class SceneCounter implements AutoCloseable {
  private final CounterProcess process;
  private final FaultInjectingProxy relay;

  SceneCounter(Vertx vertx, Path folder) throws IOException {
    process =
        new CounterProcess(
            folder,
            "log text level info\n",
            "-Xmx128m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1");
    relay = new FaultInjectingProxy(vertx, process.port());
    try {
      process.start().get(Child.START_SECONDS, TimeUnit.SECONDS);
      Scene.await(relay.start());
    } catch (ExecutionException | TimeoutException e) {
      close();
      throw new IOException("the counter did not start: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  public int port() {
    return relay.port();
  }

  public void silent(boolean on) {
    relay.silent(on);
  }

  public void slow(long millis) {
    relay.slow(millis);
  }

  /** Kills it (SIGKILL); nothing listens on its port until it has started again. */
  void stop() throws InterruptedException {
    relay.stop();
    process.kill();
  }

  /** Starts it again with the counts that it had acknowledged; listens when it has recovered. */
  void start() throws IOException {
    process.start().thenRun(relay::start);
  }

  /** Removes all that it has counted, while it is stopped. */
  void empty() throws IOException {
    process.empty();
  }

  /** Loses a share of every count, from 0 to 1; one that is not running has nothing to lose. */
  void lose(double share) throws IOException {
    try (CounterCaller caller = new CounterCaller(process.port())) {
      String cursor = "0";
      do {
        List<?> page = (List<?>) caller.call("SCAN", cursor, "COUNT", "1000");
        cursor = (String) page.get(0);
        for (Object name : (List<?>) page.get(1)) {
          Object amount = caller.call("GET", (String) name);
          if (amount != null) {
            caller.call(
                "INCRBYFLOAT",
                (String) name,
                new BigDecimal((String) amount)
                    .multiply(BigDecimal.valueOf(-share))
                    .toPlainString());
          }
        }
      } while (!cursor.equals("0"));
    } catch (ConnectException e) {
      // Killed.
    }
  }

  @Override
  public void close() {
    relay.stop();
    process.close();
  }
}
