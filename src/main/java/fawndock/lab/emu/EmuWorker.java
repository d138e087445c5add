package fawndock.lab.emu;

import fawndock.Gatekeeper.Result;
import fawndock.standin.Seen;
import fawndock.standin.Worker.Build;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** A server: cores, a queue, warmth, and how it falls over when it is pushed while it is cold. */
final class EmuWorker {
    /** An attempt that it took. */
    private record Work(String request, String key, BiConsumer<Result, Map<String, Double>> ended) {
    }

    final String id;
    private final Agenda agenda;
    private final Build build;
    private final double thrash;
    private final SplittableRandom random;
    private final List<Seen> trace;
    private final Set<String> keys;
    private final ArrayDeque<Work> waiting = new ArrayDeque<>();
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private int busy;
    private int life;
    private boolean up;
    long startedAt;
    /** Times the work, shares of lost and of wrong answers, and whether it says nothing. */
    double slow = 1;
    double loses;
    double errs;
    boolean silent;

    EmuWorker(String id, Agenda agenda, Deployment of, SplittableRandom random, List<Seen> trace, Set<String> keys) {
        this.id = id;
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
        busy = 0;
        waiting.clear();
        arrivals.clear();
        startedAt = cold ? agenda.now() : 0;
        trace.add(new Seen.Came(agenda.now(), id, life, cold, build.cores() * 1e6 / build.workMicros()));
    }

    /** Dies: what it had is never answered, and its connections break. */
    void die() {
        up = false;
        life++;
        List<Work> lost = List.copyOf(waiting);
        waiting.clear();
        lost.forEach(work -> work.ended.accept(Result.RESET, Map.of()));
    }

    boolean up() {
        return up;
    }

    /** An attempt has arrived; told its end, or nothing when it is silent. */
    void arrive(String request, String key, BiConsumer<Result, Map<String, Double>> ended) {
        if (!up) {
            ended.accept(Result.CONNECT_FAILED, Map.of());
            return;
        }
        boolean refuse = waiting.size() >= build.queue();
        trace.add(new Seen.Arrived(agenda.now(), request, id, life, refuse));
        if (pushedOver()) {
            die();
            ended.accept(Result.RESET, Map.of());
        } else if (refuse) {
            ended.accept(Result.SHED, load());
        } else if (!silent) {
            waiting.add(new Work(request, key, ended));
            next();
        }
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
        while (busy < build.cores() && !waiting.isEmpty()) {
            Work work = waiting.poll();
            busy++;
            double crowd = 1 + thrash * Math.max(0, waiting.size() - build.cores());
            double micros = build.workMicros() * slow * crowd / build.warmth(startedAt, agenda.now()) * (0.5 + random.nextDouble());
            int mine = life;
            agenda.after((long) micros, () -> {
                if (mine == life) {
                    busy--;
                    finish(work);
                    next();
                } else {
                    work.ended.accept(Result.RESET, Map.of());
                }
            });
        }
    }

    private void finish(Work work) {
        if (work.key.isEmpty() || keys.add(work.key)) {
            trace.add(new Seen.Ran(agenda.now(), work.request, id));
        }
        if (random.nextDouble() < loses) {
            return;
        }
        work.ended.accept(random.nextDouble() < errs ? Result.ERROR : Result.OK, load());
    }

    private Map<String, Double> load() {
        return Map.of("utilization", (double) busy / build.cores(), "queue", (double) waiting.size(), "inFlight",
                (double) busy + waiting.size());
    }
}
