package fawndock.simulation;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.PriorityWeights;
import fawndock.conformance.TraceEvent;
import fawndock.loadgen.Arrivals;
import fawndock.loadgen.Customers;
import fawndock.loadgen.Manners;
import fawndock.measurement.Measures;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.RequestArrived;
import fawndock.simulation.Deployment.Demand;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * One run of a deployment. The same deployment, troubles and decisions give the same run, to the
 * digit, on every machine.
 */
public final class Emulation {
  /**
   * What came of it.
   *
   * @param verdict on the five rules
   * @param statuses answers by status; 0 for clients that left, -1 for connections that broke
   * @param figures of the whole run, by name
   * @param series by name, a value for each second
   * @param events that happened
   */
  public record Result(
      ConformanceResult verdict,
      Map<Integer, Long> statuses,
      Map<String, Double> figures,
      Map<String, double[]> series,
      long events) {}

  private static final long ROUND_MICROS = 5_000;
  private static final long AFTER = 10_000_000;
  private static final long RESTART_MICROS = 5_000_000;
  final Agenda agenda = new Agenda();
  final Deployment deployment;
  final Network network;
  final List<EmuCounter> counter = new ArrayList<>();
  final List<EmuGatekeeper> gatekeepers = new ArrayList<>();
  final Map<String, EmuWorker> workers = new LinkedHashMap<>();
  private final List<TraceEvent> trace = new ArrayList<>();
  private final Map<String, EndpointState> listed = new HashMap<>();
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Set<String> poisoned = new HashSet<>();
  private final SplittableRandom random;
  private long operations;
  private final double[] triesAsked;
  private long tries;

  /**
   * Set by troubles: shares of clients that leave early and of requests that kill, tries of a
   * storm, a roster that is mute.
   */
  double leaving;

  double poison;
  int storm;
  boolean rosterMute;

  /**
   * @param maker makes each gatekeeper's decisions
   */
  public Emulation(Deployment deployment, Function<PolicyConfig, GatewayPolicy> maker) {
    this.deployment = deployment;
    random = new SplittableRandom(deployment.seed());
    triesAsked = new double[(int) Math.ceil(deployment.seconds())];
    network = new Network(agenda, deployment.network(), random.split());
    for (int i = 0; i < deployment.counter().parts(); i++) {
      counter.add(
          new EmuCounter(
              "counter" + i,
              agenda,
              deployment.counter(),
              random.split(),
              (int) Math.ceil(deployment.seconds())));
    }
    deployment.classes().forEach(c -> classes.put(c.name(), c));
    Set<String> keys = new HashSet<>();
    for (int i = 0; i < deployment.workers(); i++) {
      EmuWorker worker =
          new EmuWorker(
              i,
              agenda,
              deployment,
              random.split(),
              trace,
              keys,
              poisoned::contains,
              this::crashed);
      workers.put(worker.id, worker);
      listed.put(worker.id, EndpointState.RUNNING);
      worker.start(false);
    }
    for (int i = 0; i < deployment.gatekeepers(); i++) {
      PolicyConfig settings =
          new PolicyConfig(
              i,
              deployment.gatekeepers(),
              deployment.seed() + i,
              ROUND_MICROS,
              "",
              false,
              deployment.classes(),
              deployment.plans(),
              deployment.limits(),
              deployment.rules(),
              new CounterConfig(true, deployment.counter().waitMicros(), false));
      EmuGatekeeper made = new EmuGatekeeper(i, this, () -> maker.apply(settings));
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
    Map<String, Plan> plans = deployment.plansOfCustomers();
    deployment.demands().forEach(this::demand);
    agenda.run((long) (deployment.seconds() * 1e6) + AFTER);
    long slack = 2 * deployment.network().leastMicros() + 40 * deployment.network().moreMicros();
    Measures.Told told =
        Measures.of(
            trace,
            classes,
            plans,
            deployment.demands().stream().map(Demand::name).toList(),
            0,
            deployment.seconds());
    ConformanceLimits judged = new ConformanceLimits(classes, deployment.rules(), plans, slack);
    ConformanceResult verdict = InvariantChecker.judge(trace, judged);
    double[] calls = new double[(int) Math.ceil(deployment.seconds())];
    double[] queue = new double[calls.length];
    for (EmuCounter part : counter) {
      for (int i = 0; i < calls.length; i++) {
        calls[i] += part.calls()[i];
        queue[i] = Math.max(queue[i], part.queue()[i]);
      }
    }
    told.series().put("counter calls", calls);
    told.series().put("tries asked", triesAsked);
    told.figures().put("asked-a-try", Arrays.stream(triesAsked).sum() / Math.max(1, tries));
    told.series().put("counter queue ms", queue);
    told.figures().put("calls-a-try", Arrays.stream(calls).sum() / Math.max(1, verdict.requests()));
    told.figures().put("counter-queue-ms", Arrays.stream(queue).max().orElse(0));
    told.figures().put("worth", PriorityWeights.judge(trace, judged));
    told.figures().put("rules-broken", (double) verdict.broken());
    return new Result(verdict, told.statuses(), told.figures(), told.series(), agenda.put());
  }

  /** A gatekeeper has taken in a try, and called the counter for it or not. */
  void tried(boolean asked) {
    tries++;
    int second = (int) (agenda.now() / 1_000_000);
    if (asked && second < triesAsked.length) {
      triesAsked[second]++;
    }
  }

  /** The counter's part that a name lies on. */
  EmuCounter part(String name) {
    return counter.get(Math.floorMod(name.hashCode(), counter.size()));
  }

  /** A worker's process has ended by itself: it is taken off the roster, and starts again cold. */
  private void crashed(EmuWorker worker) {
    list(worker.id, EndpointState.REMOVED);
    agenda.after(
        RESTART_MICROS,
        () -> {
          if (!worker.up()) {
            worker.start(true);
            list(worker.id, EndpointState.RUNNING);
          }
        });
  }

  /**
   * The customers of a demand, of all of them when it is empty, ask so many times more for a while
   * from now on.
   */
  void more(String name, double times, double seconds) {
    deployment.demands().stream()
        .filter(d -> name.isEmpty() || d.name().equals(name))
        .forEach(
            d ->
                next(
                    d,
                    new Arrivals(d.rate() * times, d.shape(), false, seconds, random.split()),
                    agenda.now(),
                    new Customers(d.customers(), d.skew()),
                    random.split()));
  }

  private void demand(Demand demand) {
    Arrivals arrivals =
        new Arrivals(demand.rate(), demand.shape(), false, deployment.seconds(), random.split());
    Customers customers = new Customers(demand.customers(), demand.skew());
    next(demand, arrivals, 0, customers, random.split());
  }

  private void next(
      Demand demand, Arrivals arrivals, long from, Customers customers, SplittableRandom draw) {
    long at = arrivals.next();
    if (at >= 0) {
      agenda.at(
          from + at,
          () -> {
            String operation = "op" + operations++;
            boolean kills = poison > 0 && draw.nextDouble() < poison;
            ask(demand, customers.draw(draw), operation, 1, kills, draw);
            next(demand, arrivals, from, customers, draw);
          });
    }
  }

  /** A customer comes through some gatekeepers in a row, the first by its number. */
  private void ask(
      Demand demand,
      int customer,
      String operation,
      int tried,
      boolean kills,
      SplittableRandom draw) {
    int all = gatekeepers.size();
    int spread = Math.min(all, demand.spread());
    EmuGatekeeper to = up((int) ((customer * 7_919L + draw.nextInt(spread)) % all));
    String name = demand.name() + "-" + customer;
    String request = operation + "." + tried;
    long asked = agenda.now();
    long giveUpAt = asked + demand.remainingMicros();
    String key =
        classes.get(demand.requestClass()).idempotency() == Idempotency.DEDUPLICATED
            ? operation
            : "";
    if (kills) {
      poisoned.add(request);
    }
    trace.add(
        new TraceEvent.Asked(asked, request, to.me, demand.requestClass(), name, 1, giveUpAt));
    boolean[] over = {false};
    long[] id = {0};
    network.send(
        () ->
            id[0] =
                to.request(
                    new RequestArrived(
                        0,
                        demand.requestClass(),
                        demand.plan(),
                        name,
                        giveUpAt,
                        1,
                        spread,
                        (int) (customer * 7_919L % all),
                        tried > 1),
                    request,
                    key,
                    (status, wait) ->
                        network.send(
                            () -> {
                              if (!over[0]) {
                                over[0] = true;
                                trace.add(
                                    status == EmuGatekeeper.BROKE
                                        ? new TraceEvent.Broke(agenda.now(), request)
                                        : new TraceEvent.Answered(agenda.now(), request, status));
                                ended(
                                    demand, customer, operation, tried, status, wait, kills, draw);
                              }
                            })));
    long leaves =
        leaving > 0 && draw.nextDouble() < leaving
            ? 5_000 + draw.nextInt(60_000)
            : demand.manners().giveUpMicros();
    agenda.after(
        leaves,
        () -> {
          if (!over[0]) {
            over[0] = true;
            trace.add(new TraceEvent.Left(agenda.now(), request));
            network.send(() -> to.gone(id[0]));
            ended(demand, customer, operation, tried, 0, 0, kills, draw);
          }
        });
  }

  /** A gatekeeper by its number, or the next that is up. */
  private EmuGatekeeper up(int first) {
    for (int i = 0; i < gatekeepers.size(); i++) {
      EmuGatekeeper each = gatekeepers.get((first + i) % gatekeepers.size());
      if (each.up()) {
        return each;
      }
    }
    return gatekeepers.get(first);
  }

  void kill(EmuGatekeeper gatekeeper) {
    trace.add(new TraceEvent.Killed(agenda.now(), gatekeeper.me));
    gatekeeper.die();
  }

  private void ended(
      Demand demand,
      int customer,
      String operation,
      int tried,
      int status,
      long waitMicros,
      boolean kills,
      SplittableRandom draw) {
    boolean harmless =
        status == 429
            || classes.get(demand.requestClass()).idempotency() != Idempotency.AT_MOST_ONCE;
    Manners manners =
        storm == 0 ? demand.manners() : new Manners(0, Manners.Retry.AT_ONCE, 0, storm, false);
    long again =
        harmless
            ? manners.again(Math.max(0, status), (waitMicros + 999_999) / 1_000_000, tried)
            : -1;
    if (again >= 0) {
      agenda.after(again, () -> ask(demand, customer, operation, tried + 1, kills, draw));
    }
  }

  EmuWorker worker(String id) {
    return workers.get(id);
  }

  /**
   * Tells a gatekeeper the whole list at once: only changes take the roster's time, and a
   * gatekeeper that has no list is not ready.
   */
  void roster(EmuGatekeeper to) {
    agenda.after(
        0,
        () -> {
          List<Endpoint> all = new ArrayList<>();
          workers.values().forEach(worker -> all.add(entry(worker)));
          all.forEach(server -> told(to, server));
          to.tell(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, all));
        });
  }

  private Endpoint entry(EmuWorker worker) {
    return new Endpoint(worker.id, worker.zone, 0, listed.get(worker.id), 1, worker.startedAt);
  }

  private void told(EmuGatekeeper to, Endpoint server) {
    trace.add(
        new TraceEvent.Told(
            agenda.now(),
            to.me,
            server.id(),
            server.state().name().toLowerCase(java.util.Locale.ROOT),
            server.startedAtMicros()));
  }

  /** The roster lists a worker otherwise, and tells all gatekeepers, each after its time. */
  public void list(String worker, EndpointState as) {
    listed.put(worker, as);
    if (rosterMute) {
      return;
    }
    Endpoint server = entry(workers.get(worker));
    gatekeepers.forEach(
        to ->
            agenda.after(
                deployment.rosterMicros(),
                () -> {
                  told(to, server);
                  to.tell(new EndpointUpdate(EndpointUpdateKind.CHANGES, List.of(server)));
                }));
  }

  void peers(int from, int to, Consumer<EmuGatekeeper> each) {
    gatekeepers.stream().filter(g -> g.me != from && (to < 0 || g.me == to)).forEach(each);
  }
}
