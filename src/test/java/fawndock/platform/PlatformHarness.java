package fawndock.platform;

import fawndock.fake.FakePlatform;
import fawndock.fake.FakeRespServer;
import fawndock.fake.RespClient;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Runs one gateway on a fake platform for one test. The test's thread uses it; the gateway runs on
 * threads of its own.
 */
final class PlatformHarness implements AutoCloseable {
  final FakePlatform platform;
  final PlatformProcess process;
  private final Thread thread;
  private final AtomicInteger exitCode = new AtomicInteger(-1);
  private long nextId = 1;

  PlatformHarness(FakeRespServer.CommandHandler backend, FakeRespServer.CommandHandler counter)
      throws Exception {
    this(backend, counter, 256);
  }

  PlatformHarness(
      FakeRespServer.CommandHandler backend, FakeRespServer.CommandHandler counter, int maxSockets)
      throws Exception {
    this(backend, counter, maxSockets, DefaultGatewayPolicy::new);
  }

  PlatformHarness(
      FakeRespServer.CommandHandler backend,
      FakeRespServer.CommandHandler counter,
      int maxSockets,
      Function<PolicyConfig, GatewayPolicy> policyFactory)
      throws Exception {
    platform = new FakePlatform(backend, counter, maxSockets);
    process = new PlatformProcess(platform.environment());
    thread =
        new Thread(
            () -> {
              try {
                exitCode.set(process.run(policyFactory));
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.start();
    if (!process.awaitReady(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("gateway not ready within 30 s");
    }
  }

  RespClient connectClient() throws IOException {
    return new RespClient(platform.port());
  }

  /** Returns the arguments of a new request command. */
  String[] newRequest(String type) {
    return FakePlatform.requestCommand(type, "large", 7, nextId++, "");
  }

  /**
   * Blocks the event loop until the returned latch is counted down. All bytes that arrive meanwhile
   * are read in one turn.
   */
  CountDownLatch blockEventLoop() throws InterruptedException {
    CountDownLatch eventLoopBlocked = new CountDownLatch(1);
    CountDownLatch releaseEventLoop = new CountDownLatch(1);
    process
        .context()
        .runOnContext(
            v -> {
              eventLoopBlocked.countDown();
              try {
                releaseEventLoop.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    eventLoopBlocked.await();
    return releaseEventLoop;
  }

  /** Stops the process and waits for its end; returns the exit code. */
  int stop() throws InterruptedException {
    process.stop();
    thread.join(30_000);
    return exitCode.get();
  }

  @Override
  public void close() throws Exception {
    stop();
    platform.close();
  }
}
