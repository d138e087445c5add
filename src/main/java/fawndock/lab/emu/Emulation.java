package fawndock.lab.emu;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.drill.Figures;
import fawndock.drill.RuleChecker;
import fawndock.drill.Verdict;
import fawndock.lab.emu.Deployment.Demand;
import fawndock.lab.load.Arrivals;
import fawndock.lab.load.Customers;
import fawndock.standin.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/** One run of a deployment. The same deployment, troubles and decisions give the same run, to the digit, on every machine. */
public final class Emulation {
    /**
     * What came of it.
     *
     * @param verdict on the five rules
     * @param statuses answers by status; 0 for clients that left
     * @param used requests that ran, by customer
     * @param calls to the counter
     * @param events that happened
     */
    public record Result(Verdict verdict, Map<Integer, Long> statuses, Map<String, Long> used, long calls, long events) {
    }

    private static final long ROUND_MICROS = 5_000;
    private static final long AFTER = 10_000_000;
    final Agenda agenda = new Agenda();
    final Deployment deployment;
    final Network network;
    final EmuCounter counter;
    final List<EmuGatekeeper> gatekeepers = new ArrayList<>();
    final Map<String, EmuWorker> workers = new LinkedHashMap<>();
    private final List<Seen> trace = new ArrayList<>();
    private final Map<String, Availability> listed = new HashMap<>();
    private final Map<Integer, Long> statuses = new TreeMap<>();
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final SplittableRandom random;
    private long operations;

    /** @param maker makes each gatekeeper's decisions */
    public Emulation(Deployment deployment, Function<Settings, Gatekeeper> maker) {
        this.deployment = deployment;
        random = new SplittableRandom(deployment.seed());
        network = new Network(agenda, deployment.network(), random.split());
        counter = new EmuCounter(agenda, deployment.counter());
        deployment.classes().forEach(c -> classes.put(c.name(), c));
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < deployment.workers(); i++) {
            EmuWorker worker = new EmuWorker("w" + i, agenda, deployment, random.split(), trace, keys);
            workers.put(worker.id, worker);
            listed.put(worker.id, Availability.RUNNING);
            worker.start(false);
        }
        for (int i = 0; i < deployment.gatekeepers(); i++) {
            EmuGatekeeper made = new EmuGatekeeper(i, this, maker.apply(new Settings(i, deployment.gatekeepers(),
                    deployment.seed() + i, ROUND_MICROS, "", false, deployment.classes(), deployment.plans(),
                    deployment.limits(), deployment.rules(), new Gatekeeper.Counter(true, deployment.counter().waitMicros(),
                    false))));
            gatekeepers.add(made);
            roster(made);
        }
    }

    /** Something that happens at a second of the run. */
    public Emulation at(double second, Consumer<Emulation> what) {
        agenda.at((long) (second * 1e6), () -> what.accept(this));
        return this;
    }

    /** Runs all of it, until long after the last client asked. */
    public Result run() {
        deployment.demands().forEach(this::demand);
        agenda.run((long) (deployment.seconds() * 1e6) + AFTER);
        long slack = 2 * deployment.network().leastMicros() + 40 * deployment.network().moreMicros();
        Map<String, Long> used = new TreeMap<>();
        Map<String, String> customers = new HashMap<>();
        Set<String> ran = new HashSet<>();
        trace.forEach(seen -> {
            if (seen instanceof Seen.Asked a) {
                customers.put(a.request(), a.customer());
            } else if (seen instanceof Seen.Ran r && ran.add(r.request())) {
                used.merge(customers.get(r.request()), 1L, Long::sum);
            }
        });
        return new Result(RuleChecker.judge(trace, new Figures(classes, deployment.rules(), plans, slack)),
                java.util.Collections.unmodifiableMap(statuses), used, counter.calls, agenda.put());
    }

    private void demand(Demand demand) {
        Arrivals arrivals = new Arrivals(demand.rate(), demand.shape(), false, deployment.seconds(), random.split());
        Customers customers = new Customers(demand.customers(), demand.skew());
        Plan plan = deployment.plans().stream().filter(p -> p.name().equals(demand.plan())).findFirst().orElseThrow();
        for (int i = 0; i < demand.customers(); i++) {
            plans.put(demand.name() + "-" + i, plan);
        }
        next(demand, arrivals, customers, random.split());
    }

    private void next(Demand demand, Arrivals arrivals, Customers customers, SplittableRandom draw) {
        long at = arrivals.next();
        if (at >= 0) {
            agenda.at(at, () -> {
                ask(demand, customers.draw(draw), "op" + operations++, 1, draw);
                next(demand, arrivals, customers, draw);
            });
        }
    }

    /** A customer comes through some gatekeepers in a row, the first by its number. */
    private void ask(Demand demand, int customer, String operation, int tried, SplittableRandom draw) {
        int all = gatekeepers.size();
        int spread = Math.min(all, demand.spread());
        EmuGatekeeper to = gatekeepers.get((int) ((customer * 7_919L + draw.nextInt(spread)) % all));
        String name = demand.name() + "-" + customer;
        String request = operation + "." + tried;
        long asked = agenda.now();
        long giveUpAt = asked + demand.remainingMicros();
        String key = classes.get(demand.requestClass()).repeat() == Repeat.DEDUPLICATED ? operation : "";
        trace.add(new Seen.Asked(asked, request, to.me, demand.requestClass(), name, 1, giveUpAt));
        boolean[] over = {false};
        long[] id = {0};
        network.send(() -> id[0] = to.request(new Request(0, demand.requestClass(), demand.plan(), name, giveUpAt, 1, spread,
                (int) (customer * 7_919L % all), tried > 1), request, key, (status, wait) -> network.send(() -> {
                    if (!over[0]) {
                        over[0] = true;
                        trace.add(new Seen.Answered(agenda.now(), request, status));
                        ended(demand, customer, operation, tried, status, wait, draw);
                    }
                })));
        long leaves = demand.manners().giveUpMicros();
        agenda.after(leaves, () -> {
            if (!over[0]) {
                over[0] = true;
                trace.add(new Seen.Left(agenda.now(), request));
                network.send(() -> to.gone(id[0]));
                ended(demand, customer, operation, tried, 0, 0, draw);
            }
        });
    }

    private void ended(Demand demand, int customer, String operation, int tried, int status, long waitMicros,
                       SplittableRandom draw) {
        statuses.merge(status, 1L, Long::sum);
        boolean harmless = status == 429 || classes.get(demand.requestClass()).repeat() != Repeat.AT_MOST_ONCE;
        long again = harmless ? demand.manners().again(status, (waitMicros + 999_999) / 1_000_000, tried) : -1;
        if (again >= 0) {
            agenda.after(again, () -> ask(demand, customer, operation, tried + 1, draw));
        }
    }

    EmuWorker worker(String id) {
        return workers.get(id);
    }

    /** Tells a gatekeeper the whole list, after the roster's time. */
    void roster(EmuGatekeeper to) {
        agenda.after(deployment.rosterMicros(), () -> {
            List<Server> all = new ArrayList<>();
            workers.values().forEach(worker -> all.add(entry(worker)));
            all.forEach(server -> told(to, server));
            to.tell(new Servers(Listing.COMPLETE, all));
        });
    }

    private Server entry(EmuWorker worker) {
        return new Server(worker.id, "", 0, listed.get(worker.id), 1, worker.startedAt);
    }

    private void told(EmuGatekeeper to, Server server) {
        trace.add(new Seen.Told(agenda.now(), to.me, server.id(), server.availability().name().toLowerCase(
                java.util.Locale.ROOT), server.startedMicros()));
    }

    /** The roster lists a worker otherwise, and tells all gatekeepers, each after its time. */
    public void list(String worker, Availability as) {
        listed.put(worker, as);
        Server server = entry(workers.get(worker));
        gatekeepers.forEach(to -> agenda.after(deployment.rosterMicros(), () -> {
            told(to, server);
            to.tell(new Servers(Listing.CHANGES, List.of(server)));
        }));
    }

    void peers(int from, int to, Consumer<EmuGatekeeper> each) {
        gatekeepers.stream().filter(g -> g.me != from && (to < 0 || g.me == to)).forEach(each);
    }
}
