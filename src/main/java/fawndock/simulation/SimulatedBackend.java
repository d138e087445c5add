package fawndock.simulation;

import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend.BackendConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A simulated backend with cores, a bounded queue, a slow start after a restart, and a crash when
 * it is overloaded during its slow start. Single-threaded.
 */
final class SimulatedBackend {
  /** An accepted attempt. */
  private static final class BackendCall {
    final String requestId;
    final String idempotencyKey;
    final BiConsumer<CallResult, LoadReport> onCompleted;

    BackendCall(
        String requestId, String idempotencyKey, BiConsumer<CallResult, LoadReport> onCompleted) {
      this.requestId = requestId;
      this.idempotencyKey = idempotencyKey;
      this.onCompleted = onCompleted;
    }
  }

  final String id;
  private final EventQueue events;
  private final BackendConfig config;
  private final double queueingSlowdown;
  private final SplittableRandom random;
  private final List<TraceEvent> trace;
  private final Set<String> appliedKeys;
  private final Predicate<String> isPoisoned;
  private final Consumer<SimulatedBackend> onCrash;
  final String zone;
  private final ArrayDeque<BackendCall> queue = new ArrayDeque<>();
  private final Set<BackendCall> running = new LinkedHashSet<>();
  private final ArrayDeque<Long> recentArrivals = new ArrayDeque<>();
  private int incarnation;
  private boolean isRunning;
  long startedAtMicros;

  /** Multiplies the work time of an attempt; set by faults, as are the next three fields. */
  double workTimeFactor = 1;

  double lostResponseRatio;
  double errorRatio;
  boolean isUnresponsive;

  /** Connections that leak each second; a restart releases them. */
  double leakedConnectionsPerSecond;

  private long leakingSinceMicros;

  /**
   * @param appliedKeys idempotency keys of the effects applied so far, shared by all backends
   * @param isPoisoned whether a request kills the backend that processes it
   * @param onCrash called when the process crashes on its own, not when a fault kills it
   */
  SimulatedBackend(
      int number,
      EventQueue events,
      Deployment deployment,
      SplittableRandom random,
      List<TraceEvent> trace,
      Set<String> appliedKeys,
      Predicate<String> isPoisoned,
      Consumer<SimulatedBackend> onCrash) {
    this.id = "w" + number;
    this.zone = deployment.zoneCount() > 1 ? "z" + number % deployment.zoneCount() : "";
    this.isPoisoned = isPoisoned;
    this.onCrash = onCrash;
    this.events = events;
    this.config = deployment.backend();
    this.queueingSlowdown = deployment.queueingSlowdown();
    this.random = random;
    this.trace = trace;
    this.appliedKeys = appliedKeys;
  }

  void start(boolean isWarmingUp) {
    incarnation++;
    isRunning = true;
    queue.clear();
    recentArrivals.clear();
    leakedConnectionsPerSecond = 0;
    startedAtMicros = isWarmingUp ? events.nowMicros() : 0;
    trace.add(
        new TraceEvent.EndpointStarted(
            events.nowMicros(),
            id,
            incarnation,
            isWarmingUp,
            config.cores() * 1e6 / config.workMicros()));
  }

  /** Kills the process: all queued and running attempts end with a reset. */
  void kill() {
    isRunning = false;
    incarnation++;
    List<BackendCall> resetCalls = new ArrayList<>(running);
    resetCalls.addAll(queue);
    running.clear();
    queue.clear();
    resetCalls.forEach(call -> call.onCompleted.accept(CallResult.RESET, LoadReport.NONE));
  }

  boolean isRunning() {
    return isRunning;
  }

  /** Handles an attempt. The callback is never called for an attempt at an unresponsive backend. */
  void onAttempt(
      String requestId, String idempotencyKey, BiConsumer<CallResult, LoadReport> onCompleted) {
    if (!isRunning) {
      onCompleted.accept(CallResult.CONNECT_FAILED, LoadReport.NONE);
      return;
    }
    if (isOutOfConnections()) {
      onCompleted.accept(CallResult.CONNECT_FAILED, LoadReport.NONE);
      return;
    }
    boolean isRejected = queue.size() >= config.queueCapacity();
    trace.add(
        new TraceEvent.AttemptArrived(events.nowMicros(), requestId, id, incarnation, isRejected));
    if (isOverloaded()) {
      crash();
      onCompleted.accept(CallResult.RESET, LoadReport.NONE);
    } else if (isRejected) {
      onCompleted.accept(CallResult.SHED, loadReport());
    } else if (!isUnresponsive) {
      queue.add(new BackendCall(requestId, idempotencyKey, onCompleted));
      startQueued();
    }
  }

  private boolean isOutOfConnections() {
    if (leakedConnectionsPerSecond <= 0) {
      return false;
    }
    double leaked = leakedConnectionsPerSecond * (events.nowMicros() - leakingSinceMicros) / 1e6;
    return queue.size() + running.size() + leaked >= config.cores() + config.queueCapacity();
  }

  private void crash() {
    kill();
    onCrash.accept(this);
  }

  /** Sets the rate at which connections leak from now on; 0 releases them. */
  void leakConnections(double perSecond) {
    leakedConnectionsPerSecond = perSecond;
    leakingSinceMicros = events.nowMicros();
  }

  private boolean isOverloaded() {
    long now = events.nowMicros();
    recentArrivals.add(now);
    while (recentArrivals.peek() < now - config.collapseWindowMicros()) {
      recentArrivals.poll();
    }
    return config.isOverloaded(recentArrivals.size(), startedAtMicros, now);
  }

  private void startQueued() {
    while (isRunning && running.size() < config.cores() && !queue.isEmpty()) {
      BackendCall call = queue.poll();
      running.add(call);
      double slowdown = 1 + queueingSlowdown * Math.max(0, queue.size() - config.cores());
      double workMicros =
          config.workMicros()
              * workTimeFactor
              * slowdown
              / config.slowStartFactor(startedAtMicros, events.nowMicros())
              * (0.5 + random.nextDouble());
      events.scheduleAfter(
          (long) workMicros,
          () -> {
            if (running.remove(call)) {
              finish(call);
              startQueued();
            }
          });
    }
  }

  private void finish(BackendCall call) {
    if (isPoisoned.test(call.requestId)) {
      running.add(call); // The crash resets its connection too.
      crash();
      return;
    }
    if (call.idempotencyKey.isEmpty() || appliedKeys.add(call.idempotencyKey)) {
      trace.add(new TraceEvent.EffectApplied(events.nowMicros(), call.requestId, id));
    }
    if (random.nextDouble() < lostResponseRatio) {
      return;
    }
    call.onCompleted.accept(
        random.nextDouble() < errorRatio ? CallResult.ERROR : CallResult.OK, loadReport());
  }

  private LoadReport loadReport() {
    return new LoadReport.Builder()
        .utilization((double) running.size() / config.cores())
        .queuedRequests(queue.size())
        .inFlightRequests((double) running.size() + queue.size())
        .build();
  }
}
