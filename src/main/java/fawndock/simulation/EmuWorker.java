package fawndock.simulation;

import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend.Build;
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

/** A server: cores, a queue, warmth, and how it falls over when it is pushed while it is cold. */
final class EmuWorker {
  /** An attempt that it took. */
  private static final class Work {
    final String request;
    final String key;
    final BiConsumer<CallResult, LoadReport> ended;

    Work(String request, String key, BiConsumer<CallResult, LoadReport> ended) {
      this.request = request;
      this.key = key;
      this.ended = ended;
    }
  }

  final String id;
  private final Agenda agenda;
  private final Build build;
  private final double thrash;
  private final SplittableRandom random;
  private final List<TraceEvent> trace;
  private final Set<String> keys;
  private final Predicate<String> deadly;
  private final Consumer<EmuWorker> crashed;
  final String zone;
  private final ArrayDeque<Work> waiting = new ArrayDeque<>();
  private final Set<Work> running = new LinkedHashSet<>();
  private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
  private int life;
  private boolean up;
  long startedAt;

  /** Times the work, shares of lost and of wrong answers, and whether it says nothing. */
  double slow = 1;

  double loses;
  double errs;
  boolean silent;

  /** Connections that leak each second, and since when; a start gives them back. */
  double leaks;

  private long leaksSince;

  /**
   * @param deadly whether a request kills the process that works on it
   * @param crashed told of a process that ended by itself
   */
  EmuWorker(
      int number,
      Agenda agenda,
      Deployment of,
      SplittableRandom random,
      List<TraceEvent> trace,
      Set<String> keys,
      Predicate<String> deadly,
      Consumer<EmuWorker> crashed) {
    this.id = "w" + number;
    this.zone = of.zones() > 1 ? "z" + number % of.zones() : "";
    this.deadly = deadly;
    this.crashed = crashed;
    this.agenda = agenda;
    this.build = of.build();
    this.thrash = of.thrash();
    this.random = random;
    this.trace = trace;
    this.keys = keys;
  }

  void start(boolean cold) {
    life++;
    up = true;
    waiting.clear();
    arrivals.clear();
    leaks = 0;
    startedAt = cold ? agenda.now() : 0;
    trace.add(
        new TraceEvent.Came(
            agenda.now(), id, life, cold, build.cores() * 1e6 / build.workMicros()));
  }

  /** Dies: what it had is never answered, and its connections break. */
  void die() {
    up = false;
    life++;
    List<Work> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    lost.forEach(work -> work.ended.accept(CallResult.RESET, LoadReport.NONE));
  }

  boolean up() {
    return up;
  }

  /** An attempt has arrived; told its end, or nothing when it is silent. */
  void arrive(String request, String key, BiConsumer<CallResult, LoadReport> ended) {
    if (!up) {
      ended.accept(CallResult.CONNECT_FAILED, LoadReport.NONE);
      return;
    }
    if (leaks > 0
        && waiting.size() + running.size() + leaks * (agenda.now() - leaksSince) / 1e6
            >= build.cores() + build.queue()) {
      ended.accept(CallResult.CONNECT_FAILED, LoadReport.NONE);
      return;
    }
    boolean refuse = waiting.size() >= build.queue();
    trace.add(new TraceEvent.Arrived(agenda.now(), request, id, life, refuse));
    if (pushedOver()) {
      crash();
      ended.accept(CallResult.RESET, LoadReport.NONE);
    } else if (refuse) {
      ended.accept(CallResult.SHED, load());
    } else if (!silent) {
      waiting.add(new Work(request, key, ended));
      next();
    }
  }

  private void crash() {
    die();
    crashed.accept(this);
  }

  /** So many of its connections leak each second from now on, none when 0. */
  void leak(double aSecond) {
    leaks = aSecond;
    leaksSince = agenda.now();
  }

  private boolean pushedOver() {
    long now = agenda.now();
    arrivals.add(now);
    while (arrivals.peek() < now - build.fallMicros()) {
      arrivals.poll();
    }
    return build.pushedOver(arrivals.size(), startedAt, now);
  }

  private void next() {
    while (up && running.size() < build.cores() && !waiting.isEmpty()) {
      Work work = waiting.poll();
      running.add(work);
      double crowd = 1 + thrash * Math.max(0, waiting.size() - build.cores());
      double micros =
          build.workMicros()
              * slow
              * crowd
              / build.warmth(startedAt, agenda.now())
              * (0.5 + random.nextDouble());
      agenda.after(
          (long) micros,
          () -> {
            if (running.remove(work)) {
              finish(work);
              next();
            }
          });
    }
  }

  private void finish(Work work) {
    if (deadly.test(work.request)) {
      running.add(work); // It breaks with the others.
      crash();
      return;
    }
    if (work.key.isEmpty() || keys.add(work.key)) {
      trace.add(new TraceEvent.Ran(agenda.now(), work.request, id));
    }
    if (random.nextDouble() < loses) {
      return;
    }
    work.ended.accept(random.nextDouble() < errs ? CallResult.ERROR : CallResult.OK, load());
  }

  private LoadReport load() {
    return new LoadReport.Builder()
        .utilization((double) running.size() / build.cores())
        .queuedRequests(waiting.size())
        .inFlightRequests((double) running.size() + waiting.size())
        .build();
  }
}
