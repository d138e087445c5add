package fawndock.platform;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One gatekeeper of the platform's way in, in service among stand-ins, for one test. */
final class PlatformHarness implements AutoCloseable {
  final FakePlatform world;
  final PlatformProcess daemon;
  private final Thread thread;
  private final AtomicInteger code = new AtomicInteger(-1);
  private long nextId = 1;

  PlatformHarness(FakeRespServer.CommandHandler worker, FakeRespServer.CommandHandler counter)
      throws Exception {
    this(worker, counter, 256);
  }

  PlatformHarness(
      FakeRespServer.CommandHandler worker, FakeRespServer.CommandHandler counter, int sockets)
      throws Exception {
    world = new FakePlatform(worker, counter, sockets);
    daemon = new PlatformProcess(world.environment());
    thread =
        new Thread(
            () -> {
              try {
                code.set(daemon.run(DefaultGatewayPolicy::new));
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.start();
    if (!daemon.awaitReady(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("not ready within 30 s");
    }
  }

  RespClient client() throws IOException {
    return new RespClient(world.port());
  }

  /** The words of a new request. */
  String[] request(String type) {
    return FakePlatform.requestCommand(type, "large", 7, nextId++, "");
  }

  /**
   * Holds the event loop until the latch is counted down: what comes meanwhile is found all at
   * once.
   */
  CountDownLatch hold() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    daemon
        .context()
        .runOnContext(
            v -> {
              held.countDown();
              try {
                release.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    held.await();
    return release;
  }

  /** Tells it to stop and waits for its end; returns the exit code. */
  int stop() throws InterruptedException {
    daemon.stop();
    thread.join(30_000);
    return code.get();
  }

  @Override
  public void close() throws Exception {
    stop();
    world.close();
  }
}
