package fawndock.platform;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The gateway process on the platform: startup, configuration reload on SIGHUP, shutdown on SIGTERM
 * or SIGINT. {@link #run} blocks the calling thread; the other public methods may be called from
 * any thread.
 */
public final class PlatformProcess {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformProcess.class);

  /** Exit code after a graceful shutdown. */
  public static final int EXIT_STOPPED = 0;

  /** Exit code if the listen address cannot be bound. */
  public static final int EXIT_CANNOT_LISTEN = 1;

  /** Exit code for an invalid configuration. */
  public static final int EXIT_INVALID_CONFIG = 2;

  /** Delay before connections are closed, in which the last writes reach the network. */
  private static final long FLUSH_DELAY_MILLIS = 20;

  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  /** Effectively disables Vert.x's check for blocked threads, which would need its own thread. */
  private static final long BLOCKED_THREAD_CHECK_MILLIS = 3_600_000;

  private final Map<String, String> environment;
  private final CountDownLatch listening = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private Vertx vertx;
  private volatile Context context;
  private PlatformGateway gateway;

  /** The configuration that the gateway starts with; a reload during the warm-up replaces it. */
  private PlatformConfig currentConfig;

  private boolean isShuttingDown;
  private volatile int exitCode;

  /** Replaces the reload signal if the process ignores it; otherwise null. */
  private ConfigFileWatcher configFileWatcher;

  /**
   * Creates a process that is not started, with the environment variables that the platform sets.
   */
  public PlatformProcess(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Serves until the process is stopped and returns the exit code. An invalid configuration is
   * reported on standard error in one line.
   */
  public int run(Function<PolicyConfig, GatewayPolicy> policyFactory) throws InterruptedException {
    vertx = createVertx();
    context = vertx.getOrCreateContext();
    // Handlers are installed before the file is read. Without them a signal would end the process,
    // or a change of the file would be missed.
    boolean hasReloadSignal = installSignalHandlers();
    try {
      start(policyFactory);
      if (!hasReloadSignal) {
        watchConfigFile();
      }
    } catch (InvalidConfigException e) {
      System.err.println(e.getMessage());
      exitCode = EXIT_INVALID_CONFIG;
      finished.countDown();
    } catch (RuntimeException e) {
      closeVertx(); // Vert.x's threads would keep the process alive.
      throw e;
    }
    finished.await();
    if (configFileWatcher != null) {
      configFileWatcher.close();
    }
    closeVertx();
    return exitCode;
  }

  private static Vertx createVertx() {
    return Vertx.vertx(
        new VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MILLIS)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setFileCachingEnabled(false)
                    .setClassPathResolvingEnabled(false)));
  }

  private synchronized void start(Function<PolicyConfig, GatewayPolicy> policyFactory)
      throws InvalidConfigException {
    PlatformConfig config = PlatformConfigReader.read(environment);
    context.runOnContext(v -> warmUpAndServe(config, policyFactory));
  }

  private void warmUpAndServe(
      PlatformConfig config, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    currentConfig = config;
    new WarmUp(vertx, config, policyFactory)
        .run()
        .compose(warmedUp -> serve(policyFactory))
        .onSuccess(started -> listening.countDown())
        .onFailure(
            e -> {
              LOG.error("cannot listen: address={} reason={}", config.listen(), e.toString());
              finish(EXIT_CANNOT_LISTEN);
            });
  }

  private Future<?> serve(Function<PolicyConfig, GatewayPolicy> policyFactory) {
    gateway = new PlatformGateway(vertx, new TcpTransport(context), currentConfig, policyFactory);
    return gateway.start();
  }

  /**
   * Reads the configuration file on the calling thread and applies its addresses. An invalid file
   * is logged and changes nothing.
   */
  public synchronized void reload() {
    try {
      PlatformConfig newConfig = PlatformConfigReader.read(environment);
      context.runOnContext(v -> applyConfig(newConfig));
    } catch (InvalidConfigException e) {
      LOG.error("configuration rejected, keeping the current one: reason={}", e.getMessage());
    }
  }

  private void applyConfig(PlatformConfig newConfig) {
    if (gateway != null) {
      gateway.reload(newConfig);
    } else {
      currentConfig = newConfig; // The gateway is created with it after the warm-up.
    }
  }

  /** Shuts down gracefully, after which {@link #run} returns. Idempotent. */
  public void stop() {
    if (finished.getCount() > 0) {
      context.runOnContext(v -> shutDown());
    }
  }

  /** Waits until the gateway listens; returns false if it does not within the timeout. */
  public boolean awaitReady(long timeout, TimeUnit unit) throws InterruptedException {
    return listening.await(timeout, unit);
  }

  /** Returns the context of the event loop that the whole gateway runs on. */
  Context context() {
    return context;
  }

  /** Returns the gateway, or null before the warm-up has finished. */
  PlatformGateway gateway() {
    return gateway;
  }

  private void shutDown() {
    if (isShuttingDown) {
      return;
    }
    isShuttingDown = true;
    if (gateway == null) {
      finish(EXIT_STOPPED);
      return;
    }
    LOG.info("shutting down: open_requests={}", gateway.runner().openRequestCount());
    new GracefulShutdown(
            vertx,
            gateway.clientListener(),
            currentConfig.longestDeadlineMicros(),
            () -> finish(EXIT_STOPPED))
        .start();
  }

  private void finish(int code) {
    if (finished.getCount() > 0) {
      exitCode = code;
      vertx.setTimer(FLUSH_DELAY_MILLIS, id -> closeGateway());
    }
  }

  private void closeGateway() {
    if (gateway != null) {
      gateway.close();
    }
    vertx.setTimer(FLUSH_DELAY_MILLIS, id -> finished.countDown());
  }

  private void closeVertx() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    vertx.close().onComplete(v -> closed.countDown());
    if (!closed.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      LOG.warn(
          "event loop not closed in time, exiting anyway: timeout_ms={}", CLOSE_TIMEOUT_MILLIS);
    }
  }

  /** Installs all signal handlers; returns whether the reload signal can be received. */
  private boolean installSignalHandlers() {
    installSignalHandler("TERM", this::stop);
    installSignalHandler("INT", this::stop);
    return installSignalHandler("HUP", this::reload);
  }

  private void watchConfigFile() {
    Path file = Path.of(environment.get(PlatformConfigReader.VARIABLE_CONFIG_FILE));
    LOG.warn("watching the configuration file instead of the reload signal: file={}", file);
    configFileWatcher = new ConfigFileWatcher(file, this::reload);
    configFileWatcher.start();
  }

  /**
   * Installs a handler; returns false if the signal was ignored by the parent process, as by nohup
   * with SIGHUP, because the JVM leaves such a signal ignored.
   */
  private static boolean installSignalHandler(String name, Runnable handler) {
    SignalHandler previous = Signal.handle(new Signal(name), signal -> handler.run());
    boolean isIgnored = previous == SignalHandler.SIG_IGN;
    if (isIgnored) {
      LOG.warn("signal ignored by the parent process, it has no effect: signal=SIG{}", name);
    }
    return !isIgnored;
  }
}
