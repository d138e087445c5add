package fawndock;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The decisions of one gatekeeper; the types it takes and gives are all in Gatekeeper.java.
 * A request is first weighed against its customer's pair of counts (quota), then waits for room on a server
 * (server choice, health), is sent (attempts) and is answered before its client gives up (deadlines).
 */
public final class Logic implements Gatekeeper {
    /** Names are kept 60 s at most, and a name must outlive two windows. */
    private static final long LONGEST_WINDOW = 30_000_000;
    /** A gauge's epoch, in longest deadlines: few requests straddle two epochs, yet leaks lapse soon. */
    private static final int EPOCH_DEADLINES = 6;
    /** A counter call is waited for this many usual call times: far out in its tail. */
    private static final double PATIENCE = 6;
    /** ... but never for more than this share of the aim, so that the wait alone costs no answer. */
    private static final double WAIT_OF_AIM = 0.1;
    // Silences in a row after which the counter is not waited for: one loss is chance, four are an outage.
    private static final int SILENCES = 4;
    // ... and longest call times that must have passed since an answer: a crowded counter still gives some.
    private static final int SILENT_WAITS = 3;
    /** Share of calls that fail or come late above which the counter is crowded: well above chance losses. */
    private static final double CROWDED = 0.1;
    /** Weight of a new sample in the slow averages; about the last 20 samples count. */
    private static final double SLOW_GAIN = 0.05;
    /** Weight of a new sample in a server's latency; servers see few requests, so the last 5 count. */
    private static final double FAST_GAIN = 0.2;
    /** Mean latency as a share of the aim that a server is kept below: the tail takes the rest. */
    private static final double LATENCY_TARGET = 0.25;
    /** Attempts out at one server, of all gatekeepers, to begin with; the latency seen soon moves it. */
    private static final double FIRST_OUT = 12;
    /** ... and at the least: about what keeps the cores of a small server at work. */
    private static final double LEAST_OUT = 4;
    /** While this share of the room is used it grows by that share an answer: twice in 35 answers. */
    private static final double NEAR_FULL = 0.7, GROWTH = 0.02;
    /** A cold server's part of a warm one's rate, over its warmth: most are warmer than they must be. */
    private static final double COLD_PART = 1.5;
    private static final double HOLD = 0.15; // Longest hold, of the aim: a standing queue makes all late.
    private static final int FAILURES = 3; // Failures in a row that take a server out.
    /** First time out for an ejected server, and the longest; it doubles each time. */
    private static final long FIRST_EJECTION = 1_000_000, LONGEST_EJECTION = 16_000_000;
    /** At most this share of the servers is held ejected: when more fail, the cause is not theirs. */
    private static final double MOST_EJECTED = 0.5;
    private static final long REPORT_AGE = 2_000_000; // A load report older than this says nothing.
    /** Latency knowledge of a server that is not used fades with this time, so that it is tried again. */
    private static final double FADE = 8_000_000;
    /** Time constant of the send rate that a cold server's part is taken of. */
    private static final double RATE_TIME = 3_000_000;
    /** An attempt is looked at again after this share of the aim: a second one still fits. */
    private static final double CHECK_OF_AIM = 0.4;
    /** ... and is given up if its server looks this many times slower than the fleet. */
    private static final double SLOW_SERVER = 2.5;
    /** Further attempts of work that may have run, per first attempt: bounds the load that retries add. */
    private static final double RETRY_SHARE = 0.1, RETRY_STORE = 10;
    /** Rounds before the client gives up in which its answer must be on its way. */
    private static final int MARGIN_ROUNDS = 2;

    private enum Kind { RATE, OPEN, CEILING }

    /** One named count as this gatekeeper knows it. */
    private static final class Tally {
        final String name;
        final long number;
        double total, own, owed, sent;
        boolean closedRead, restoring;
        Call reading;

        Tally(String name, long number) {
            this.name = name;
            this.number = number;
        }
    }

    /** The pair of counts of one customer for one purpose. */
    private static final class Pair {
        final String prefix;
        final long window;
        final double limit;
        Tally current, previous;
        /** The customer's store as replayed from the totals heard, and how far into each count that goes. */
        double level = Double.NaN, levelCurrent, levelPrevious;
        long levelAt;

        Pair(String prefix, long window, double limit) {
            this.prefix = prefix;
            this.window = window;
            this.limit = limit;
        }

        void roll(long now) {
            long number = now / window;
            if (current != null && current.number == number) { return; }
            boolean next = current != null && current.number == number - 1;
            previous = next ? current : tally(number - 1);
            current = tally(number);
            level = next ? level : Double.NaN;
            levelAt = next ? levelAt : now;
            levelPrevious = levelCurrent;
            levelCurrent = 0;
        }

        double estimate(double previous, double current, long now) {
            return Logic.estimate(previous, current, now % window, window);
        }

        // What the store holds, from the same two totals: it fills at the plan's rate and is drained by what
        // was added since the last look. Each count is followed by its highest mark: a total read before an
        // own add came in, or a peer's add that is taken back, must not fill the store again.
        void replay(double before, long now) {
            double markCurrent = Math.max(before, levelCurrent);
            double markPrevious = Math.max(previous.total, levelPrevious);
            level = Double.isNaN(level) ? Math.max(0, limit - estimate(previous.total, before, now))
                    : levelBound(now) - (markCurrent - levelCurrent) - (markPrevious - levelPrevious);
            levelCurrent = markCurrent;
            levelPrevious = markPrevious;
            levelAt = now;
        }

        /** The most that the store can hold by now. */
        double levelBound(long now) {
            return Double.isNaN(level) ? 0 : Math.min(limit, level + limit * (now - levelAt) / window);
        }

        private Tally tally(long number) {
            return new Tally(prefix + Long.toString(number, Character.MAX_RADIX), number);
        }
    }

    /** A call to the counter that is out. */
    private record Call(Pair pair, Tally tally, Kind kind, double amount, boolean restores,
                        List<Held> waiters) { }

    /** What was added for a request to one count, and the total found before it. */
    private static final class Share {
        final Pair pair;
        final Tally tally;
        final double units;
        double before = Double.NaN;
        boolean counted, sent;

        Share(Pair pair, Tally tally, double units) {
            this.pair = pair;
            this.tally = tally;
            this.units = units;
        }

        void send() {
            sent = true;
            tally.sent += units;
        }
    }

    /** A request that this gatekeeper holds. */
    private static final class Held {
        final Request request;
        final ClassState type;
        final Plan plan;
        final long arrived;
        final long aimAt;
        final Map<Kind, Share> shares = new TreeMap<>();
        final List<Try> tries = new ArrayList<>(1);
        int waiting, out;
        boolean decided, done, streaming;
        double rank, weight;
        long sequence, startBy;

        Held(Request request, ClassState type, Plan plan, long now) {
            this.request = request;
            this.type = type;
            this.plan = plan;
            this.arrived = now;
            this.aimAt = Math.min(now + type.info.aimMicros(), request.giveUpAtMicros());
        }
    }

    /** One attempt of a request. */
    private static final class Try {
        final ServerState server;
        final long sentAt;
        final double outBefore;
        Result result;

        Try(ServerState server, long sentAt, double outBefore) {
            this.server = server;
            this.sentAt = sentAt;
            this.outBefore = outBefore;
        }

        boolean mayHaveRun() { return result == null || result.mayHaveRun; }
    }

    /** What has been learned of a class. */
    private static final class ClassState {
        final RequestClass info;
        double latency;
        double units = 1;

        ClassState(RequestClass info) {
            this.info = info;
            this.latency = info.aimMicros() * LATENCY_TARGET / 2;
        }
    }

    /** What has been learned of a server. */
    private static final class ServerState {
        Server info;
        double latency = Double.NaN;
        double out, reported;
        int failures, ejections;
        long heardAt, ejectedUntil, coldNext, reportedAt = Long.MIN_VALUE / 2;
        final TreeMap<Long, Integer> sentAt = new TreeMap<>();
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, ClassState> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final TreeMap<String, ServerState> servers = new TreeMap<>();
    private final Map<String, Pair> pairs = new LinkedHashMap<>();
    private final Map<String, ArrayDeque<Call>> calls = new LinkedHashMap<>();
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final TreeSet<Held> queue = new TreeSet<>((a, b) -> a.rank != b.rank
            ? Double.compare(b.rank, a.rank) : Long.compare(a.sequence, b.sequence));
    private final long longestDeadline, longestAim;
    private List<Action> actions = new ArrayList<>();
    private long now, sequence;
    private int silences;
    private long heardAt, warmAt;
    private double callTime, crowd, fleetOut, meanOut, room, warmSent, warmRate;
    private double retries = RETRY_STORE, fleetLatency = LATENCY_TARGET / 2;

    /** Makes the decisions of one gatekeeper. */
    public Logic(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        settings.classes().forEach(c -> classes.put(c.name(), new ClassState(c)));
        settings.plans().forEach(p -> plans.put(p.name(), p));
        List<RequestClass> types = settings.classes();
        longestDeadline = types.stream().mapToLong(RequestClass::deadlineMicros).max().orElse(1_000_000);
        longestAim = types.stream().mapToLong(RequestClass::aimMicros).max().orElse(1_000_000);
        callTime = settings.counter().waitMicros() / PATIENCE;
    }

    @Override
    public List<Action> on(long nowMicros, Event event) {
        now = nowMicros;
        actions = new ArrayList<>();
        if (event instanceof Request e) { request(e); }
        if (event instanceof Counted e) { counted(e); }
        if (event instanceof Outcome e) { outcome(e); }
        if (event instanceof Wake e) { wake(e.token()); }
        if (event instanceof Servers e) { list(e); }
        if (event instanceof Gone e) { gone(e); }
        if (event instanceof Started e) { started(e); }
        pump();
        return actions;
    }

    // ---- quota ----

    private void request(Request r) {
        if (held.containsKey(r.id())) { return; }
        // A class or plan that the settings do not name: nothing may be repeated, and there is no quota.
        ClassState type = classes.computeIfAbsent(r.requestClass(), name -> new ClassState(new RequestClass(
                name, longestDeadline, 0, longestDeadline, 1, 0, Repeat.AT_MOST_ONCE, Group.CELL, 0, false)));
        Plan plan = plans.computeIfAbsent(r.plan(), name -> new Plan(name, 0, 0, 0, 1, 0, 0, 0, 0, 0));
        Held q = new Held(r, type, plan, now);
        held.put(r.id(), q);
        wakeAt(Math.max(now, r.giveUpAtMicros() - MARGIN_ROUNDS * settings.roundMicros()), "end:", q);
        ask(q);
    }

    // Asks the counter for each kind of quota; adds the request's units, or only reads where that is enough.
    private void ask(Held q) {
        for (Kind kind : settings.counter().present() ? Kind.values() : new Kind[0]) {
            Pair pair = pair(q, kind);
            if (pair == null) { continue; }
            Share share = new Share(pair, pair.current, kind == Kind.OPEN ? 1 : q.request.units());
            q.shares.put(kind, share);
            if (!silent() && crowd > CROWDED && proven(kind, pair, share.units)) {
                refuse(q, left(kind, pair, q));
                return;
            }
        }
        q.shares.forEach((kind, share) -> {
            // A try that is known to be over only reads: most such tries would take their add back again.
            boolean hopeless = kind == Kind.RATE && !silent() && proven(kind, share.pair, share.units);
            await(q, call(share.pair, share.tally, kind, hopeless ? 0 : share.units, false));
            if (kind != Kind.RATE) { readPrevious(q, share.pair, kind); }
        });
        if (q.waiting == 0 || silent()) {
            admitUnasked(q);
        } else {
            wakeAt(now + counterPatience(q), "ask:", q);
        }
    }

    // Lets a request in without the counter's word; only a ceiling is held then, by this gatekeeper's share
    // of its rate. Guards the ceiling's rule under any loss of the counter; refuses what peers leave unused.
    private void admitUnasked(Held q) {
        Share share = q.shares.get(Kind.CEILING);
        if (share == null || !Double.isNaN(share.before)) { admit(q); return; }
        Pair pair = share.pair;
        double part = Math.max(1, q.request.spread());
        pair.level = Math.min(pair.limit / part, (Double.isNaN(pair.level) ? 0 : pair.level)
                + pair.limit * (now - Math.max(pair.levelAt, heardAt)) / pair.window / part);
        pair.levelAt = now;
        if (pair.level < share.units) { refuse(q, pair.window); return; }
        pair.level -= share.units;
        admit(q);
    }

    /** Nothing has come from the counter for several calls and long enough that it is not just crowded. */
    private boolean silent() {
        return silences >= SILENCES && now - heardAt > SILENT_WAITS * settings.counter().waitMicros();
    }


    // Whether totals heard, or this gatekeeper's own sends, prove the quota used up: counts only grow within
    // a window, so the answer is known. While the counter is crowded such a try is refused unasked. Guards
    // against a counter jammed by tries without hope, whatever makes it slow. It may hurt for up to a window
    // after peers took back adds, or after sends beyond the quota were counted.
    private boolean proven(Kind kind, Pair pair, double units) {
        if (kind != Kind.RATE) { return ownUse(kind, pair) >= pair.limit; }
        double previous = Math.max(pair.previous.total, pair.previous.sent);
        double current = Math.max(pair.current.total, pair.current.sent);
        return pair.levelBound(now) < units && pair.estimate(previous, current, now) >= pair.limit;
    }

    private double ownUse(Kind kind, Pair pair) {
        double before = pair.previous.sent, current = pair.current.sent;
        return kind == Kind.OPEN ? before + current : pair.estimate(before, current, now);
    }

    private void readPrevious(Held q, Pair pair, Kind kind) {
        Tally previous = pair.previous;
        if (!previous.closedRead) {
            if (previous.reading == null) { previous.reading = call(pair, previous, kind, 0, false); }
            await(q, previous.reading);
        }
    }

    private void await(Held q, Call call) {
        call.waiters.add(q);
        q.waiting++;
    }

    private long counterPatience(Held q) {
        long most = Math.min(settings.counter().waitMicros(), (long) (WAIT_OF_AIM * q.type.info.aimMicros()));
        return Math.min(most, (long) (PATIENCE * callTime) + settings.roundMicros());
    }

    /** The pair of counts that holds this customer's quota of the kind, or null where its plan has none. */
    private Pair pair(Held q, Kind kind) {
        Plan plan = q.plan;
        boolean none = switch (kind) {
            case RATE -> plan.rate() <= 0;
            case OPEN -> plan.concurrency() <= 0;
            case CEILING -> plan.ceilingRate() <= 0;
        };
        if (none) { return null; }
        String prefix = "roc".charAt(kind.ordinal()) + q.request.customer() + ".";
        Pair pair = pairs.computeIfAbsent(prefix, p -> switch (kind) {
            case RATE -> pair(p, plan.storeSize(), plan.rate());
            case CEILING -> pair(p, plan.ceilingBurst(), plan.ceilingRate());
            case OPEN -> new Pair(p, Math.min(LONGEST_WINDOW, EPOCH_DEADLINES * longestDeadline),
                    plan.concurrency());
        });
        pair.roll(now);
        return pair;
    }

    private static Pair pair(String prefix, double store, double rate) {
        double seconds = Math.min(LONGEST_WINDOW / 1e6, store > 0 ? store / rate : 1);
        return new Pair(prefix, Math.max(1, (long) (seconds * 1e6)), rate * seconds);
    }

    private Call call(Pair pair, Tally tally, Kind kind, double amount, boolean restores) {
        Call call = new Call(pair, tally, kind, amount + tally.owed, restores, new ArrayList<>(1));
        tally.owed = 0;
        calls.computeIfAbsent(tally.name, n -> new ArrayDeque<>(2)).add(call);
        actions.add(new Count(tally.name, call.amount, 2 * pair.window));
        return call;
    }

    private void counted(Counted e) {
        ArrayDeque<Call> line = calls.get(e.name());
        Call call = line == null ? null : line.poll();
        if (call == null) { return; }
        if (line.isEmpty()) { calls.remove(e.name()); }
        Tally tally = call.tally;
        boolean reading = tally.reading == call;
        boolean late = e.result() != Result.OK || e.tookMicros() > settings.counter().waitMicros() / 2;
        crowd += SLOW_GAIN * ((late ? 1 : 0) - crowd);
        if (reading) { tally.reading = null; }
        if (e.result() == Result.OK) {
            silences = 0;
            heardAt = now;
            callTime += SLOW_GAIN * (e.tookMicros() - callTime);
            tally.closedRead |= reading;
            learn(call, e.total());
        } else {
            silences++;
            // An add that surely failed is carried to the next call; one that may have been added is not.
            if (!e.result().mayHaveRun) { tally.owed += call.amount; }
            tally.restoring &= !call.restores;
        }
        for (Held q : call.waiters) {
            Share share = q.shares.get(call.kind);
            if (e.result() == Result.OK && share.tally == tally && Double.isNaN(share.before)) {
                share.before = tally.total - call.amount;
                share.counted = call.amount > 0;
                if (call.kind == Kind.RATE && tally == call.pair.current && !Double.isNaN(call.pair.level)) {
                    call.pair.replay(share.before, now);
                }
            }
            answered(q);
        }
    }

    /** Takes in a total, and puts this gatekeeper's own part back when the counter has lost it. */
    private void learn(Call call, double total) {
        Tally tally = call.tally;
        tally.total = total;
        if (call.restores) {
            tally.restoring = false;
            return;
        }
        tally.own += call.amount;
        // Guards against a flush, an emptied or a moved counter: a count below what this gatekeeper alone has
        // added is lost. It may hurt when a peer withdraws more than it added, which no peer does.
        double lost = tally.own - total;
        if (lost > 0.5 && !tally.restoring) {
            tally.restoring = true;
            call(call.pair, tally, call.kind, lost, true);
        }
        tally.total = Math.max(total, tally.own);
    }

    private void answered(Held q) {
        q.waiting--;
        if (q.waiting == 0 && !q.decided) {
            Share rate = q.shares.get(Kind.RATE);
            if (rate != null && mayDecide(rate)) { readPrevious(q, rate.pair, Kind.RATE); }
            if (q.waiting == 0) { decide(q); }
        } else if (q.done && q.out == 0) {
            release(q);
        }
    }

    /** Whether the window before can tip the estimate: it holds the limit and a refilled store at most. */
    private boolean mayDecide(Share share) {
        Pair pair = share.pair;
        return share.tally == pair.current && !Double.isNaN(share.before)
                && pair.estimate(2 * pair.limit, share.before, now) >= pair.limit;
    }

    private void decide(Held q) {
        Kind over = null;
        for (Map.Entry<Kind, Share> each : q.shares.entrySet()) {
            if (over(each.getKey(), each.getValue(), q)) { over = each.getKey(); }
        }
        if (over == null) {
            q.shares.forEach(this::addLate);
            admitUnasked(q);
            return;
        }
        refuse(q, left(over, q.shares.get(over).pair, q));
    }

    /** A try that only read, and proved to have room after all, adds its units now. */
    private void addLate(Kind kind, Share share) {
        if (!share.counted && !Double.isNaN(share.before)) {
            share.counted = true;
            call(share.pair, share.tally, kind, share.units, false);
        }
    }

    private long left(Kind kind, Pair pair, Held q) {
        return kind == Kind.OPEN ? (long) q.type.latency : pair.window - now % pair.window;
    }

    private boolean over(Kind kind, Share share, Held q) {
        Pair pair = share.pair;
        // Unanswered by a crowded, not silent, counter: this gatekeeper's part of the quota is let in. Guards
        // against grants to all whom a jam leaves unanswered; may hurt where traffic is uneven.
        if (Double.isNaN(share.before)) {
            return crowd > CROWDED && !silent() && ownUse(kind, pair) * q.request.spread() >= pair.limit;
        }
        double previous = share.tally == pair.current ? pair.previous.total : pair.current.total;
        return switch (kind) {
            case RATE -> pair.estimate(previous, share.before, now) >= pair.limit && !storeHolds(share);
            case OPEN -> Math.max(0, previous) + Math.max(0, share.before) >= pair.limit;
            case CEILING -> previous + share.before + share.units > pair.limit;
        };
    }

    // Whether the store would grant what the estimate refuses: after a burst the estimate stays at the limit
    // while the store fills again. Acts on nothing else. It may let too much in where a peer's sends went
    // uncounted.
    private boolean storeHolds(Share share) {
        Pair pair = share.pair;
        if (share.tally != pair.current) { return false; }
        pair.replay(share.before, now);
        if (pair.level < share.units) { return false; }
        pair.level -= share.units;
        pair.levelCurrent += share.units;
        return true;
    }

    /** The weighted estimate of a customer's use in the window that ends now. */
    static double estimate(double previous, double current, long elapsed, long window) {
        return Math.max(0, previous) * (window - elapsed) / window + current;
    }

    // Takes back all that was added for a request that was not sent on, or its open attempt once that ended.
    private void release(Held q) {
        q.shares.forEach((kind, share) -> {
            if (kind == Kind.OPEN || q.tries.isEmpty()) { giveBack(kind, share); }
            if (kind == Kind.OPEN && share.sent) {
                share.sent = false;
                share.tally.sent -= share.units;
            }
        });
    }

    private void giveBack(Kind kind, Share share) {
        if (share.counted && now < (share.tally.number + 2) * share.pair.window) {
            share.counted = false;
            share.tally.total -= share.units;
            call(share.pair, share.tally, kind, -share.units, false);
        }
    }

    private void settle(Held q, double units) {
        Share share = q.shares.get(Kind.RATE);
        if (settings.counter().settled() && units > 0 && share != null && share.counted) {
            double difference = units - q.request.units();
            if (difference != 0 && now < (share.tally.number + 2) * share.pair.window) {
                call(share.pair, share.tally, Kind.RATE, difference, false);
            }
        }
    }

    // ---- server choice ----

    private void admit(Held q) {
        q.decided = true;
        q.sequence = sequence++;
        q.type.units += SLOW_GAIN * (q.request.units() - q.type.units);
        q.weight = Math.max(0.1, q.request.units() / q.type.units);
        q.rank = q.type.info.worth() / q.type.latency;
        enqueue(q);
    }

    private void enqueue(Held q) {
        long room = q.aimAt - q.arrived;
        q.startBy = q.arrived + (long) (HOLD * room);
        if (now > q.startBy) {
            refuse(q, (long) q.type.latency);
            return;
        }
        queue.add(q);
        if (q.startBy > now) { wakeAt(q.startBy, "hold:", q); }
    }

    /** Sends what waits while a server has room; a second try bound to some servers is stepped over. */
    private void pump() {
        for (Held q = queue.isEmpty() ? null : queue.first(); q != null; ) {
            ServerState server = choose(q);
            Held next = queue.higher(q);
            if (server == null && q.tries.isEmpty()) { return; }
            if (server != null) {
                queue.remove(q);
                send(q, server);
            }
            q = next;
        }
    }

    /** The least loaded server that may take this request now, or null. */
    private ServerState choose(Held q) {
        List<ServerState> running = running();
        if (fleetOut + Math.min(1, q.weight) > room(running.size())) { return null; }
        // When many look bad the cause is not theirs: then none is left out for its health.
        long bad = running.stream().filter(s -> s.failures >= FAILURES).count();
        boolean trust = bad <= MOST_EJECTED * running.size();
        ServerState best = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerState s : running) {
            double score = score(s) * (1 + 0.001 * random.nextDouble());
            if (score < bestScore && mayTake(s, q, trust, running.size())) {
                bestScore = score;
                best = s;
            }
        }
        return best;
    }

    private List<ServerState> running() {
        return servers.values().stream().filter(s -> s.info.availability() == Availability.RUNNING).toList();
    }

    private boolean mayTake(ServerState s, Held q, boolean trust, int count) {
        boolean ejected = trust && s.failures >= FAILURES && (now < s.ejectedUntil || s.out > 0);
        boolean tried = count > 1 && q.tries.stream().anyMatch(t -> t.server == s);
        boolean cold = warmth(s) < 1 && now < s.coldNext;
        double part = 2 * room(count) / count * Math.min(1, fleetLatency / latency(s));
        return !ejected && !tried && !cold && groupAllows(s, q)
                && s.out + Math.min(1, q.weight) <= Math.max(1, part);
    }

    // Attempts that may be out in all: never less than keeps the servers at work, whatever the latency says.
    private double room(int count) {
        return Math.max(room, Math.max(1, count * Math.min(1, LEAST_OUT / settings.gatekeepers())));
    }

    // Learns how many attempts may be out from the latency of all servers: what was out, scaled so that the
    // mean answer comes in its part of the aim. Guards against overload from any cause: surges, all servers
    // slow, a shrunk fleet, tries let in unmetered. May hurt when a few slow servers raise the mean.
    private void adapt(double took, double out) {
        fleetLatency += SLOW_GAIN * (took - fleetLatency);
        meanOut += SLOW_GAIN * (out - meanOut);
        if (fleetLatency > LATENCY_TARGET) {
            room = Math.min(room, meanOut * LATENCY_TARGET / fleetLatency);
        } else if (fleetOut >= room * NEAR_FULL) {
            room += room * GROWTH;
        }
    }

    private double score(ServerState s) {
        double latency = latency(s);
        double others = now - s.reportedAt < REPORT_AGE ? s.reported : 0;
        return latency * (1 + s.out + others) / warmth(s);
    }

    /** A server's latency as a share of the aim; long waits for an answer count before it comes. */
    private double latency(ServerState s) {
        double known = fleetLatency;
        if (!Double.isNaN(s.latency)) {
            double fade = Math.exp(-(now - s.heardAt) / FADE);
            known = s.latency * fade + fleetLatency * (1 - fade);
        }
        double waited = s.sentAt.isEmpty() ? 0 : (double) (now - s.sentAt.firstKey()) / longestAim;
        return Math.max(1e-3, Math.max(known, waited));
    }

    private void report(ServerState s, Map<String, Double> load) {
        if (s == null || load.isEmpty()) { return; }
        double queued = load.getOrDefault("queue", 0.0);
        double inFlight = load.getOrDefault("inFlight", 0.0);
        double busy = load.getOrDefault("utilization", 0.0);
        s.reported = 0.5 * Math.max(queued, Math.max(inFlight - s.out, 0)) + busy;
        s.reportedAt = now;
    }

    // ---- health ----

    private void list(Servers e) {
        if (e.listing() == Listing.FAILED) {
            actions.add(new WakeAfter(Math.max(1, settings.rules().askWithinMicros() / 8), "watch:"));
            return;
        }
        if (e.listing() != Listing.CHANGES) {
            List<String> named = e.servers().stream().map(Server::id).toList();
            for (ServerState s : servers.values()) {
                if (!named.contains(s.info.id())) {
                    s.info = new Server(s.info.id(), s.info.zone(), s.info.cell(), Availability.DELETED,
                            s.info.weight(), s.info.startedMicros());
                }
            }
        }
        for (Server server : e.servers()) {
            ServerState s = servers.computeIfAbsent(server.id(), id -> new ServerState());
            if (s.info != null && s.info.startedMicros() != server.startedMicros()) {
                s.failures = 0;
                s.latency = Double.NaN;
            }
            s.info = server;
        }
        room = room > 0 ? room : servers.size() * Math.max(1, FIRST_OUT / settings.gatekeepers());
        servers.values().removeIf(s -> s.info.availability() == Availability.DELETED && s.sentAt.isEmpty());
        if (e.listing() == Listing.CACHED && settings.mustAskForServers()) { actions.add(new Watch()); }
    }

    /** The share of its work that a server can do by now, at the least. */
    private double warmth(ServerState s) {
        Rules rules = settings.rules();
        long age = now - s.info.startedMicros();
        if (s.info.startedMicros() <= 0 || age >= rules.coldMicros()) { return 1; }
        return rules.coldShare() + (1 - rules.coldShare()) * Math.max(0, age) / rules.coldMicros();
    }

    /** Notes a send, and sets when a cold server may have its next: its share of what a warm server gets. */
    private void pace(ServerState s, double weight) {
        warmSent *= Math.exp(-(now - warmAt) / RATE_TIME);
        warmAt = now;
        double warmth = warmth(s);
        if (warmth >= 1) { warmSent += weight; }
        long warm = running().stream().filter(x -> warmth(x) >= 1).count();
        if (warm > 0) { warmRate = warmSent / RATE_TIME / warm; }
        if (warmth < 1) {
            double rate = COLD_PART * Math.max(warmRate, 1 / RATE_TIME) * warmth;
            s.coldNext = Math.max(now, s.coldNext) + (long) (weight / rate);
        }
    }

    private void fare(Try t, Outcome e, ClassState type) {
        ServerState s = t.server;
        double took = (double) e.tookMicros() / type.info.aimMicros();
        switch (e.result()) {
            case OK, ERROR -> {
                s.failures = s.ejections = 0;
                hear(s, took);
                type.latency += SLOW_GAIN / 4 * (e.tookMicros() - type.latency);
                adapt(took, t.outBefore);
            }
            case TIMEOUT, RESET, CONNECT_FAILED -> {
                hear(s, Math.max(took, s.latency));
                s.failures++;
                if (s.failures >= FAILURES) {
                    long time = FIRST_EJECTION << Math.min(s.ejections++, 8);
                    s.ejectedUntil = now + Math.min(LONGEST_EJECTION, time);
                }
            }
            // A full server is as good as one that answers late.
            case SHED -> adapt(1, t.outBefore);
        }
    }

    private void hear(ServerState s, double took) {
        s.latency = Double.isNaN(s.latency) ? took : s.latency + FAST_GAIN * (took - s.latency);
        s.heardAt = now;
    }

    // ---- attempts ----

    private void send(Held q, ServerState s) {
        pace(s, q.weight);
        if (q.tries.isEmpty()) { q.shares.values().forEach(Share::send); }
        fleetOut += q.weight;
        q.tries.add(new Try(s, now, fleetOut));
        q.out++;
        s.out += q.weight;
        s.sentAt.merge(now, 1, Integer::sum);
        actions.add(new Attempt(q.request.id(), s.info.id(), q.request.giveUpAtMicros()));
        retries = Math.min(RETRY_STORE, retries + RETRY_SHARE);
        if (q.type.info.repeat() != Repeat.AT_MOST_ONCE && !q.type.info.streamed()) {
            wakeAt(now + (long) (CHECK_OF_AIM * q.type.info.aimMicros()), "check:", q);
        }
    }

    private void outcome(Outcome e) {
        Held q = held.get(e.requestId());
        if (q == null || e.attempt() < 0 || e.attempt() >= q.tries.size()) { return; }
        Try t = q.tries.get(e.attempt());
        if (t.result != null) { return; }
        t.result = e.result();
        q.out--;
        ServerState s = t.server;
        s.out = Math.max(0, s.out - q.weight);
        fleetOut = Math.max(0, fleetOut - q.weight);
        s.sentAt.computeIfPresent(t.sentAt, (at, n) -> n == 1 ? null : n - 1);
        fare(t, e, q.type);
        report(s, e.load());
        if (e.result() == Result.OK) { settle(q, e.settledUnits()); }
        if (e.over()) {
            q.done = true;
            queue.remove(q);
        }
        if (!q.done && q.out == 0) { again(q); }
        forget(q);
    }

    /** Sends a request again where that is harmless and still of use, else answers it. */
    private void again(Held q) {
        // Work that was turned away draws on the budget too, or a full fleet is hammered.
        boolean free = q.tries.stream().noneMatch(Try::mayHaveRun);
        boolean useful = q.tries.size() < settings.limits().maxAttempts() && now <= q.startBy;
        if (useful && (free || mayRepeat(q)) && retries >= 1) {
            retries--;
            enqueue(q);
        } else {
            refuse(q, (long) q.type.latency);
        }
    }

    private boolean mayRepeat(Held q) {
        return switch (q.type.info.repeat()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> now + 2 * settings.roundMicros() < repeatEnd(q);
            case AT_MOST_ONCE -> q.tries.stream().noneMatch(Try::mayHaveRun);
        };
    }

    private long repeatEnd(Held q) {
        for (Try t : q.tries) {
            if (t.mayHaveRun()) { return t.sentAt + q.type.info.repeatWindowMicros(); }
        }
        return Long.MAX_VALUE;
    }

    private boolean groupAllows(ServerState s, Held q) {
        if (q.type.info.repeat() != Repeat.DEDUPLICATED) { return true; }
        if (!mayRepeat(q)) { return false; }
        for (Try t : q.tries) {
            Server was = t.server.info;
            boolean same = switch (q.type.info.group()) {
                case ALL -> true;
                case ZONE -> was.zone().equals(s.info.zone());
                case CELL -> was.cell() == s.info.cell() && was.zone().equals(s.info.zone());
            };
            if (t.mayHaveRun() && !same) { return false; }
        }
        return true;
    }

    private boolean mayRefuse(Held q) {
        RequestClass type = q.type.info;
        return type.repeat() == Repeat.IDEMPOTENT || q.tries.stream().noneMatch(Try::mayHaveRun)
                || type.repeat() == Repeat.DEDUPLICATED && type.group() == Group.ALL;
    }

    /** Looks at an attempt that has been out for long: a copy elsewhere if allowed, else a new start. */
    private void check(Held q) {
        if (q.done || q.out != 1 || q.tries.size() >= settings.limits().maxAttempts() || retries < 1
                || now > q.startBy || !mayRepeat(q)) {
            return;
        }
        Try last = q.tries.get(q.tries.size() - 1);
        if (last.result != null || latency(last.server) < SLOW_SERVER * fleetLatency) { return; }
        if (settings.limits().duplicates()) {
            retries--;
            queue.add(q);
        } else if (settings.limits().cancel()) {
            actions.add(new Cancel(q.request.id(), q.tries.size() - 1));
        }
    }

    // ---- deadlines ----

    private void wakeAt(long at, String what, Held q) {
        actions.add(new WakeAfter(Math.max(1, at - now), what + q.request.id()));
    }

    private void wake(String token) {
        int colon = token.indexOf(':');
        if (token.equals("watch:")) {
            actions.add(new Watch());
            return;
        }
        Held q = colon < 0 ? null : find(token.substring(colon + 1));
        if (q == null || q.done || q.streaming) { return; }
        switch (token.substring(0, colon)) {
            case "ask" -> {
                if (!q.decided) {
                    silences++;
                    decide(q);
                }
            }
            case "hold" -> {
                if (queue.contains(q) && now >= q.startBy) {
                    queue.remove(q);
                    if (q.out == 0) { refuse(q, (long) q.type.latency); }
                }
            }
            case "check" -> check(q);
            case "end" -> end(q);
        }
    }

    private Held find(String id) { return id.matches("[0-9]{1,18}") ? held.get(Long.parseLong(id)) : null; }

    private void end(Held q) {
        close(q);
        actions.add(new Fail(q.request.id()));
        forget(q);
    }

    private void refuse(Held q, long waitMicros) {
        close(q);
        if (mayRefuse(q)) {
            long seconds = Math.max(1, (waitMicros + 999_999) / 1_000_000);
            actions.add(new Refuse(q.request.id(), seconds * 1_000_000));
        } else {
            actions.add(new Fail(q.request.id()));
        }
        forget(q);
    }

    private void gone(Gone e) {
        Held q = held.get(e.requestId());
        if (q != null && !q.done) {
            close(q);
            forget(q);
        }
    }

    // A streamed answer that has begun is the client's: nothing is sent or ended for it any more.
    private void started(Started e) {
        Held q = held.get(e.requestId());
        if (q == null) { return; }
        q.streaming = true;
        queue.remove(q);
    }

    private void close(Held q) {
        queue.remove(q);
        q.decided = true;
        q.done = true;
        if (settings.limits().cancel()) {
            for (int i = 0; i < q.tries.size(); i++) {
                if (q.tries.get(i).result == null) { actions.add(new Cancel(q.request.id(), i)); }
            }
        }
    }

    private void forget(Held q) {
        if (q.done && q.out == 0) {
            release(q);
            held.remove(q.request.id());
        }
    }
}
