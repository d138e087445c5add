package fawndock.platform;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** The process on the platform: start, new configurations on SIGHUP, stop on SIGTERM. */
public final class PlatformProcess {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformProcess.class);

  /**
   * The platform counts the longest deadline as no more than this when it says how long a stop may
   * take.
   */
  private static final long LONGEST_MICROS = 3_000_000;

  /** Of that time, in which clients that have connections are served as before. */
  private static final double SERVING = 0.9;

  /**
   * After that time all is to be answered, and SIGKILL comes this much later at the soonest, less a
   * reserve.
   */
  private static final long LAST_MICROS = 450_000;

  /** New connections keep coming for so long. */
  private static final long COMING_MICROS = 450_000;

  /** Left to what was answered last, and to the closes, on their way. */
  private static final long LEAVE_MICROS = 100_000;

  private final Map<String, String> variables;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private Vertx vertx;
  private volatile Context context;
  private PlatformGateway gateway;
  private boolean stopping;
  private long longestMicros;
  private volatile int code;

  /** A daemon that is not started; takes the platform's variables. */
  public PlatformProcess(Map<String, String> variables) {
    this.variables = variables;
  }

  /**
   * Serves until it is told to stop; returns the exit code: 0 after a stop, 1 could not listen, 2
   * unusable configuration.
   */
  public int run(Function<PolicyConfig, GatewayPolicy> maker) throws InterruptedException {
    PlatformConfig config;
    try {
      config = PlatformConfig.read(variables);
    } catch (PlatformConfig.InvalidConfigException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    longestMicros =
        config.policy().requestClasses().stream()
            .mapToLong(c -> c.deadlineMicros())
            .max()
            .orElse(0);
    vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setBlockedThreadCheckInterval(3_600_000)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)));
    context = vertx.getOrCreateContext();
    Signal.handle(new Signal("HUP"), s -> reload());
    Signal.handle(new Signal("TERM"), s -> stop());
    Signal.handle(new Signal("INT"), s -> stop());
    context.runOnContext(
        v -> {
          new WarmUp(vertx, config, maker)
              .run()
              .compose(
                  warm -> {
                    gateway = new PlatformGateway(vertx, new TcpTransport(context), config, maker);
                    return gateway.start();
                  })
              .onSuccess(listens -> ready.countDown())
              .onFailure(
                  e -> {
                    LOG.error("cannot listen on {}: {}", config.listen(), e.toString());
                    end(1);
                  });
        });
    ended.await();
    close();
    return code;
  }

  /**
   * Reads the file on the thread that calls, whole or not at all; a damaged one changes nothing.
   */
  public synchronized void reload() {
    try {
      PlatformConfig fresh = PlatformConfig.read(variables);
      context.runOnContext(
          v -> {
            if (gateway != null) {
              gateway.reload(fresh);
            }
          });
    } catch (PlatformConfig.InvalidConfigException e) {
      LOG.error("the configuration stays as it was: {}", e.getMessage());
    }
  }

  /**
   * Answers what is open, takes what still comes for a moment, and ends {@link #run}. From any
   * thread.
   */
  public void stop() {
    if (ended.getCount() == 0) {
      return;
    }
    context.runOnContext(v -> drain());
  }

  /** Whether it listens, waiting so long for it. */
  public boolean awaitReady(long time, TimeUnit unit) throws InterruptedException {
    return ready.await(time, unit);
  }

  /** The context that all of it runs on. */
  Context context() {
    return context;
  }

  /** What serves, once it does. */
  PlatformGateway gateway() {
    return gateway;
  }

  private void drain() {
    if (stopping) {
      return;
    }
    stopping = true;
    if (gateway == null) {
      end(0);
      return;
    }
    LOG.info("stopping with {} requests open", gateway.runner().openCount());
    long longest = Math.min(LONGEST_MICROS, longestMicros);
    after(
        Math.max(COMING_MICROS, (long) (SERVING * longest)),
        () -> gateway.clientListener().drain(() -> end(0)));
    after(
        longest + LAST_MICROS,
        () -> {
          gateway
              .clientListener()
              .failInFlight(); // Answered as failed by us, rather than cut off by SIGKILL.
          after(LEAVE_MICROS, () -> end(0));
        });
  }

  private void after(long micros, Runnable what) {
    vertx.setTimer(micros / 1_000, id -> what.run());
  }

  private void end(int with) {
    if (ended.getCount() > 0) {
      code = with;
      // What was written last leaves with this turn of the loop; the process ends after it.
      vertx.setTimer(
          20,
          id -> {
            if (gateway != null) {
              gateway.close();
            }
            vertx.setTimer(20, again -> ended.countDown());
          });
    }
  }

  /** Closes what is left, within a second. */
  private void close() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    vertx.close().onComplete(v -> closed.countDown());
    closed.await(1, TimeUnit.SECONDS);
  }
}
