package fawndock.simulation;

import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend.BackendConfig;
import fawndock.policy.event.CallResult;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A server: cores, a queue, warmth, and how it falls over when it is pushed while it is cold. */
final class SimulatedBackend {
  /** An attempt that it took. */
  private static final class BackendCall {
    final String requestId;
    final String idempotencyKey;
    final BiConsumer<CallResult, Map<String, Double>> onCompleted;

    BackendCall(String request, String key, BiConsumer<CallResult, Map<String, Double>> ended) {
      this.requestId = request;
      this.idempotencyKey = key;
      this.onCompleted = ended;
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

  /** Times the work, shares of lost and of wrong answers, and whether it says nothing. */
  double workTimeFactor = 1;

  double lostResponseRatio;
  double errorRatio;
  boolean isUnresponsive;

  /** Connections that leak each second, and since when; a start gives them back. */
  double leakedConnectionsPerSecond;

  private long leakingSinceMicros;

  /**
   * @param deadly whether a request kills the process that works on it
   * @param crashed told of a process that ended by itself
   */
  SimulatedBackend(
      int number,
      EventQueue agenda,
      Deployment of,
      SplittableRandom random,
      List<TraceEvent> trace,
      Set<String> keys,
      Predicate<String> deadly,
      Consumer<SimulatedBackend> crashed) {
    this.id = "w" + number;
    this.zone = of.zoneCount() > 1 ? "z" + number % of.zoneCount() : "";
    this.isPoisoned = deadly;
    this.onCrash = crashed;
    this.events = agenda;
    this.config = of.backend();
    this.queueingSlowdown = of.queueingSlowdown();
    this.random = random;
    this.trace = trace;
    this.appliedKeys = keys;
  }

  void start(boolean cold) {
    incarnation++;
    isRunning = true;
    queue.clear();
    recentArrivals.clear();
    leakedConnectionsPerSecond = 0;
    startedAtMicros = cold ? events.nowMicros() : 0;
    trace.add(
        new TraceEvent.EndpointStarted(
            events.nowMicros(), id, incarnation, cold, config.cores() * 1e6 / config.workMicros()));
  }

  /** Dies: what it had is never answered, and its connections break. */
  void kill() {
    isRunning = false;
    incarnation++;
    List<BackendCall> lost = new ArrayList<>(running);
    lost.addAll(queue);
    running.clear();
    queue.clear();
    lost.forEach(work -> work.onCompleted.accept(CallResult.RESET, Map.of()));
  }

  boolean isRunning() {
    return isRunning;
  }

  /** An attempt has arrived; told its end, or nothing when it is silent. */
  void onAttempt(String request, String key, BiConsumer<CallResult, Map<String, Double>> ended) {
    if (!isRunning) {
      ended.accept(CallResult.CONNECT_FAILED, Map.of());
      return;
    }
    if (leakedConnectionsPerSecond > 0
        && queue.size()
                + running.size()
                + leakedConnectionsPerSecond * (events.nowMicros() - leakingSinceMicros) / 1e6
            >= config.cores() + config.queueCapacity()) {
      ended.accept(CallResult.CONNECT_FAILED, Map.of());
      return;
    }
    boolean refuse = queue.size() >= config.queueCapacity();
    trace.add(new TraceEvent.AttemptArrived(events.nowMicros(), request, id, incarnation, refuse));
    if (isOverloaded()) {
      crash();
      ended.accept(CallResult.RESET, Map.of());
    } else if (refuse) {
      ended.accept(CallResult.SHED, loadReport());
    } else if (!isUnresponsive) {
      queue.add(new BackendCall(request, key, ended));
      startQueued();
    }
  }

  private void crash() {
    kill();
    onCrash.accept(this);
  }

  /** So many of its connections leak each second from now on, none when 0. */
  void leakConnections(double aSecond) {
    leakedConnectionsPerSecond = aSecond;
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
      BackendCall work = queue.poll();
      running.add(work);
      double crowd = 1 + queueingSlowdown * Math.max(0, queue.size() - config.cores());
      double micros =
          config.workMicros()
              * workTimeFactor
              * crowd
              / config.slowStartFactor(startedAtMicros, events.nowMicros())
              * (0.5 + random.nextDouble());
      events.scheduleAfter(
          (long) micros,
          () -> {
            if (running.remove(work)) {
              finish(work);
              startQueued();
            }
          });
    }
  }

  private void finish(BackendCall work) {
    if (isPoisoned.test(work.requestId)) {
      running.add(work); // It breaks with the others.
      crash();
      return;
    }
    if (work.idempotencyKey.isEmpty() || appliedKeys.add(work.idempotencyKey)) {
      trace.add(new TraceEvent.EffectApplied(events.nowMicros(), work.requestId, id));
    }
    if (random.nextDouble() < lostResponseRatio) {
      return;
    }
    work.onCompleted.accept(
        random.nextDouble() < errorRatio ? CallResult.ERROR : CallResult.OK, loadReport());
  }

  private Map<String, Double> loadReport() {
    return Map.of(
        "utilization",
        (double) running.size() / config.cores(),
        "queue",
        (double) queue.size(),
        "inFlight",
        (double) running.size() + queue.size());
  }
}
