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
 * A backend: cores, a queue, slow start, and how it collapses when it is overloaded while warming
 * up. Single-threaded.
 */
final class SimulatedBackend {
  /** An attempt that it accepted. */
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

  /** Multiplies the time of call; set by faults, as the next three. */
  double workTimeFactor = 1;

  double lostResponseRatio;
  double errorRatio;
  boolean isUnresponsive;

  /** Connections that leak each second; a start returns them. */
  double leakedConnectionsPerSecond;

  private long leakingSinceMicros;

  /**
   * @param appliedKeys idempotency keys of effects so far, shared by all backends
   * @param isPoisoned whether a request kills the process that works on it
   * @param onCrash called when the process onCompleted by itself
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

  /** Kills its process: all attempts that it has end with a reset. */
  void kill() {
    isRunning = false;
    incarnation++;
    List<BackendCall> lost = new ArrayList<>(running);
    lost.addAll(queue);
    running.clear();
    queue.clear();
    lost.forEach(call -> call.onCompleted.accept(CallResult.RESET, LoadReport.NONE));
  }

  boolean isRunning() {
    return isRunning;
  }

  /** Takes an attempt; its callback is never called while the backend is unresponsive. */
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

  /** Leaks so many connections a second from now on; none when 0. */
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
      double micros =
          config.workMicros()
              * workTimeFactor
              * slowdown
              / config.slowStartFactor(startedAtMicros, events.nowMicros())
              * (0.5 + random.nextDouble());
      events.scheduleAfter(
          (long) micros,
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
      running.add(call); // Its connection breaks with the others.
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
