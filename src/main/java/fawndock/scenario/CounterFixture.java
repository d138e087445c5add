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
 * The counter of a scenario: the counter service in a separate process, reached through a proxy
 * that injects network faults.
 */
public final class CounterFixture implements AutoCloseable {
  private final CounterProcess process;
  private final FaultInjectingProxy proxy;

  CounterFixture(Vertx vertx, Path directory) throws IOException {
    process =
        new CounterProcess(
            directory,
            "log text level info\n",
            "-Xmx128m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1");
    proxy = new FaultInjectingProxy(vertx, process.port());
    try {
      process.start().get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
      FleetFixture.await(proxy.start());
    } catch (ExecutionException | TimeoutException e) {
      close();
      throw new IOException("the counter did not start: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  public int port() {
    return proxy.port();
  }

  public void setUnresponsive(boolean unresponsive) {
    proxy.setResponsesBlocked(unresponsive);
  }

  public void setDelayMillis(long delayMillis) {
    proxy.setResponseDelayMillis(delayMillis);
  }

  /** Kills the counter (SIGKILL); nothing listens on its port until it has started again. */
  void kill() throws InterruptedException {
    proxy.stop();
    process.kill();
  }

  /**
   * Starts the counter again without waiting. Its port listens once it has recovered the counts
   * that it acknowledged.
   */
  void start() throws IOException {
    var unused = process.start().thenRun(proxy::start); // If the start fails, the checks fail.
  }

  /** Deletes all counts; the counter must not be running. */
  void deleteState() throws IOException {
    process.deleteState();
  }

  /**
   * Subtracts a share, from 0 to 1, from every count. Does nothing when the counter is not running.
   */
  void dropShare(double share) throws IOException {
    try (CounterClient client = new CounterClient(process.port())) {
      String cursor = "0";
      do {
        List<?> page = (List<?>) client.call("SCAN", cursor, "COUNT", "1000");
        cursor = (String) page.get(0);
        for (Object name : (List<?>) page.get(1)) {
          Object total = client.call("GET", (String) name);
          if (total != null) {
            client.call(
                "INCRBYFLOAT",
                (String) name,
                new BigDecimal((String) total)
                    .multiply(BigDecimal.valueOf(-share))
                    .toPlainString());
          }
        }
      } while (!cursor.equals("0"));
    } catch (ConnectException e) {
      // The counter is not running.
    }
  }

  @Override
  public void close() {
    proxy.stop();
    process.close();
  }
}
