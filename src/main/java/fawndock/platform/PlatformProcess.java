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
 * The gateway's process on the platform: start, configuration reload on SIGHUP, shutdown on SIGTERM
 * or SIGINT. {@link #run} blocks its thread; the other public methods may be called from any
 * thread.
 */
public final class PlatformProcess {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformProcess.class);

  /** Exit code after a shutdown. */
  public static final int EXIT_STOPPED = 0;

  /** Exit code when the address cannot be listened on. */
  public static final int EXIT_CANNOT_LISTEN = 1;

  /** Exit code for an unusable configuration. */
  public static final int EXIT_INVALID_CONFIG = 2;

  /** Time for the last writes to reach the network before connections are closed. */
  private static final long FLUSH_MILLIS = 20;

  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  /** Blocked threads are not checked: the check would need a thread of its own. */
  private static final long BLOCKED_THREAD_CHECK_MILLIS = 3_600_000;

  private final Map<String, String> variables;
  private final CountDownLatch listening = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private Vertx vertx;
  private volatile Context context;
  private PlatformGateway gateway;

  /** The configuration that the gateway starts with; newer than the first after a reload. */
  private PlatformConfig currentConfig;

  private boolean isShuttingDown;
  private volatile int exitCode;

  /** Stands in for the reload signal where it is ignored; else null. */
  private ConfigFileWatcher configFileWatcher;

  /** Creates a process that is not started, with the platform's environment variables. */
  public PlatformProcess(Map<String, String> variables) {
    this.variables = variables;
  }

  /**
   * Serves until the process is stopped; returns the exit code. An unusable configuration is
   * reported on standard error in one line.
   */
  public int run(Function<PolicyConfig, GatewayPolicy> policyFactory) throws InterruptedException {
    vertx = createVertx();
    context = vertx.getOrCreateContext();
    // Before the file is read: a signal would end the process, or its change be missed.
    boolean canReload = installSignalHandlers();
    try {
      start(policyFactory);
      if (!canReload) {
        watchConfigFile();
      }
    } catch (InvalidConfigException e) {
      System.err.println(e.getMessage());
      exitCode = EXIT_INVALID_CONFIG;
      finished.countDown();
    } catch (RuntimeException e) {
      closeVertx(); // Its threads would keep the process alive.
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
    PlatformConfig config = PlatformConfigReader.read(variables);
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
              LOG.error("cannot listen, address={}, cause={}", config.listen(), e.toString());
              finish(EXIT_CANNOT_LISTEN);
            });
  }

  private Future<?> serve(Function<PolicyConfig, GatewayPolicy> policyFactory) {
    gateway = new PlatformGateway(vertx, new TcpTransport(context), currentConfig, policyFactory);
    return gateway.start();
  }

  /**
   * Reads the configuration file, on the calling thread, and takes its addresses. An unusable file
   * is logged and changes nothing.
   */
  public synchronized void reload() {
    try {
      PlatformConfig newConfig = PlatformConfigReader.read(variables);
      context.runOnContext(v -> takeConfig(newConfig));
    } catch (InvalidConfigException e) {
      LOG.error("configuration rejected, keeping the current one, reason={}", e.getMessage());
    }
  }

  private void takeConfig(PlatformConfig newConfig) {
    if (gateway != null) {
      gateway.reload(newConfig);
    } else {
      currentConfig = newConfig; // Still warming up.
    }
  }

  /** Shuts down gracefully, and then ends {@link #run}. Idempotent. */
  public void stop() {
    if (finished.getCount() > 0) {
      context.runOnContext(v -> shutDown());
    }
  }

  /** Waits until the gateway listens; returns false when it does not within this time. */
  public boolean awaitReady(long timeout, TimeUnit unit) throws InterruptedException {
    return listening.await(timeout, unit);
  }

  /** Returns the context of the event loop that all of the gateway runs on. */
  Context context() {
    return context;
  }

  /** Returns the gateway, or null before the warm-up is done. */
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
    LOG.info("shutting down, openRequests={}", gateway.runner().openRequestCount());
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
      vertx.setTimer(FLUSH_MILLIS, id -> closeGateway());
    }
  }

  private void closeGateway() {
    if (gateway != null) {
      gateway.close();
    }
    vertx.setTimer(FLUSH_MILLIS, id -> finished.countDown());
  }

  private void closeVertx() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    vertx.close().onComplete(v -> closed.countDown());
    if (!closed.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      LOG.warn("event loop still open after {} ms, exiting anyway", CLOSE_TIMEOUT_MILLIS);
    }
  }

  /** Returns whether the reload signal can be received. */
  private boolean installSignalHandlers() {
    installSignalHandler("TERM", this::stop);
    installSignalHandler("INT", this::stop);
    return installSignalHandler("HUP", this::reload);
  }

  private void watchConfigFile() {
    Path file = Path.of(variables.get(PlatformConfigReader.VARIABLE_CONFIG_FILE));
    LOG.warn("watching the configuration file instead, file={}", file);
    configFileWatcher = new ConfigFileWatcher(file, this::reload);
    configFileWatcher.start();
  }

  /**
   * Installs a handler; returns false when the parent process has the signal ignored, as nohup does
   * with SIGHUP: the JVM leaves such a signal ignored.
   */
  private static boolean installSignalHandler(String name, Runnable handler) {
    SignalHandler previous = Signal.handle(new Signal(name), signal -> handler.run());
    boolean isIgnored = previous == SignalHandler.SIG_IGN;
    if (isIgnored) {
      LOG.warn("signal ignored by the parent process, it has no effect, signal=SIG{}", name);
    }
    return !isIgnored;
  }
}
