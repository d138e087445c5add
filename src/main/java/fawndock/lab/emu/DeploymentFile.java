package fawndock.lab.emu;

import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Rules;
import fawndock.lab.load.Words;
import fawndock.settings.Args;
import fawndock.settings.Entries;
import fawndock.settings.KeywordFile;
import fawndock.settings.Line;
import fawndock.settings.SettingsException;
import fawndock.standin.Worker.Build;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Reads a deployment to be emulated, with its troubles; what each keyword means is in docs/operations/emulate.md. */
public final class DeploymentFile extends KeywordFile {
    /**
     * What was read.
     *
     * @param troubles put into a run before it begins, in the order of the file
     */
    public record Read(Deployment deployment, List<Consumer<Emulation>> troubles) {
    }

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final List<Deployment.Demand> demands = new ArrayList<>();
    private final List<Consumer<Emulation>> troubles = new ArrayList<>();
    private int gatekeepers = 4;
    private int workers = 8;
    private Build build = new Build(4, 20_000, 200, 0.2, 10 * SECOND, 2, 2 * SECOND);
    private double thrash;
    private Deployment.Network network = new Deployment.Network(200, 100, 0);
    private Deployment.Counter counter = new Deployment.Counter(20_000, 50_000);
    private long roster = 1_000_000;
    private Limits limits = new Limits(3, 10_000, 30 * SECOND, false, true, false, true, true);
    private Rules rules = new Rules(10_000, 2 * SECOND, 0.2, 10 * SECOND, 2, 2 * SECOND, 10 * SECOND);
    private double seconds = 60;
    private long seed = 1;

    private DeploymentFile() {
        super(Set.of("class", "plan", "demand", "trouble"));
        keywords.put("gatekeepers", line -> gatekeepers = whole(line, 1, 10_000));
        keywords.put("workers", this::workers);
        keywords.put("network", line -> {
            Args a = args(line, 0, "network [way TIME] [more TIME] [loss SHARE]");
            network = new Deployment.Network(a.time("way", 1, SECOND, 200), a.time("more", 0, SECOND, 100),
                    a.number("loss", 0, 1, 0));
            a.finish();
        });
        keywords.put("counter", line -> {
            Args a = args(line, 0, "counter [rate CALLS-A-SECOND] [wait TIME]");
            counter = new Deployment.Counter(a.number("rate", 1, 1e9, 20_000), a.time("wait", 1_000, 10 * SECOND, 50_000));
            a.finish();
        });
        keywords.put("roster", line -> roster = time(line, HOUR));
        keywords.put("for", line -> seconds = time(line, 24 * HOUR) / (double) SECOND);
        keywords.put("seed", line -> seed = whole(line, 0, 999_999_999));
        keywords.put("class", line -> {
            Args a = args(line, 1, "class NAME aim TIME deadline TIME [ARGUMENT VALUE ...]");
            RequestClass c = Entries.requestClass(a);
            if (classes.putIfAbsent(c.name(), c) != null) {
                a.wrong("class " + c.name() + " is given twice", "each class once");
            }
            a.finish();
        });
        keywords.put("plan", line -> {
            Args a = args(line, 1, "plan NAME [rate N] [store N] [ARGUMENT VALUE ...]");
            Plan p = Entries.plan(a);
            if (plans.putIfAbsent(p.name(), p) != null) {
                a.wrong("plan " + p.name() + " is given twice", "each plan once");
            }
            a.finish();
        });
        keywords.put("limits", line -> {
            Args a = args(line, 0, "limits [ARGUMENT VALUE ...]");
            limits = Entries.limits(a);
            a.finish();
        });
        keywords.put("rules", line -> {
            Args a = args(line, 0, "rules [ARGUMENT VALUE ...]");
            rules = Entries.rules(a);
            a.finish();
        });
        keywords.put("demand", this::demand);
        keywords.put("trouble", this::trouble);
    }

    private long time(Line line, long most) {
        Args a = args(line, 1, line.keyword() + " TIME");
        long time = a.timeOf(line.keyword(), a.place(0), 0, most, SECOND);
        a.finish();
        return time;
    }

    private void workers(Line line) {
        Args a = args(line, 1, "workers NUMBER [cores N] [work TIME] [queue N] [cold-share N] [cold-time TIME] "
                + "[fall-multiple N] [fall-time TIME] [thrash SHARE]");
        workers = a.wholeOf("workers", a.place(0), 1, 10_000, 1);
        build = new Build(a.whole("cores", 1, 1_000, 4), a.time("work", 1, HOUR, 20_000), a.whole("queue", 1, 1_000_000, 200),
                a.number("cold-share", 0.01, 1, 0.2), a.time("cold-time", 0, HOUR, 10 * SECOND),
                a.number("fall-multiple", 1, 1_000, 2), a.time("fall-time", 1_000, HOUR, 2 * SECOND));
        thrash = a.number("thrash", 0, 10, 0);
        a.finish();
    }

    private void demand(Line line) {
        Args a = args(line, 1, "demand NAME class NAME plan NAME rate NUMBER [ARGUMENT VALUE ...]");
        String type = a.word("class", "");
        String plan = a.word("plan", "");
        double rate = a.number("rate", 0.001, 1_000_000, 0);
        if (a.good() && rate == 0) {
            a.wrong("demand " + a.place(0) + " has no rate", "rate NUMBER");
        }
        demands.add(new Deployment.Demand(a.place(0), type, plan, a.whole("customers", 1, 1_000_000, 1),
                a.number("skew", 0, 10, 0), a.whole("spread", 1, 10_000, 10_000), rate, Words.shape(a),
                a.time("remaining", 1_000, HOUR, 2 * SECOND), Words.manners(a)));
        a.finish();
        check(a, () -> classes.containsKey(type), "there is no class '" + type + "'", "the name of a class line");
        check(a, () -> plans.containsKey(plan), "there is no plan '" + plan + "'", "the name of a plan line");
    }

    private void trouble(Line line) {
        Args a = args(line, 1, "trouble KIND from TIME until TIME [worker N] [gatekeepers N] [times N] [share N] [empty yes|no]");
        double from = a.time("from", 0, 24 * HOUR, 0) / (double) SECOND;
        double to = a.time("until", 0, 24 * HOUR, (long) (from * SECOND)) / (double) SECOND;
        int number = a.whole("worker", 0, 9_999, 0);
        int some = a.whole("gatekeepers", 1, 10_000, 1);
        double times = a.number("times", 1, 1_000, 10);
        double share = a.number("share", 0, 1, 0.5);
        boolean empty = a.flag("empty", false);
        String worker = "w" + number;
        if (a.good() && to <= from) {
            a.wrong("trouble " + a.place(0) + " ends before it begins", "until after from");
        }
        check(a, () -> number < workers, "there is no worker " + number, "a number below " + workers);
        check(a, () -> some <= gatekeepers, "there are not " + some + " gatekeepers", "at most " + gatekeepers);
        Consumer<Emulation> made = switch (a.place(0)) {
            case "counter-silent" -> in -> Troubles.counterSilent(in, from, to);
            case "counter-dies" -> in -> Troubles.counterDies(in, from, to, empty);
            case "counter-split" -> in -> Troubles.counterSplit(in, from, to, some);
            case "worker-slow" -> in -> Troubles.slow(in, from, to, worker, times);
            case "worker-silent" -> in -> Troubles.silent(in, from, to, worker);
            case "worker-loses-answers" -> in -> Troubles.losesAnswers(in, from, to, worker, share);
            case "worker-dies" -> in -> Troubles.dies(in, from, to, worker);
            case "network-slow" -> in -> Troubles.networkSlow(in, from, to, times);
            default -> null;
        };
        if (made == null) {
            a.wrong("trouble '" + a.place(0) + "'", "counter-silent, counter-dies, counter-split, worker-slow, worker-silent, "
                    + "worker-loses-answers, worker-dies or network-slow");
        }
        troubles.add(made);
        a.finish();
    }

    /**
     * Reads a deployment file and all that it includes.
     *
     * @throws SettingsException with every mistake when there is any
     */
    public static Read read(Path file) throws SettingsException {
        DeploymentFile f = new DeploymentFile();
        f.lines(file);
        f.missing(f.demands.isEmpty(), "no demand", "demand NAME class NAME plan NAME rate NUMBER");
        f.finish();
        return new Read(new Deployment(f.gatekeepers, f.workers, f.build, f.thrash, f.network, f.counter, f.roster,
                List.copyOf(f.classes.values()), List.copyOf(f.plans.values()), f.limits, f.rules, List.copyOf(f.demands),
                f.seconds, f.seed), List.copyOf(f.troubles));
    }
}
