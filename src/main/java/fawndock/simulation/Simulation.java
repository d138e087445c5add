package fawndock.simulation;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.conformance.WeightedGoodput;
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
public final class Simulation {
  /**
   * What came of it.
   *
   * @param conformance on the five rules
   * @param responsesByStatus answers by status; 0 for clients that left, -1 for connections that
   *     broke
   * @param figures of the whole run, by name
   * @param series by name, a value for each second
   * @param eventCount that happened
   */
  public record SimulationResult(
      ConformanceResult conformance,
      Map<Integer, Long> responsesByStatus,
      Map<String, Double> figures,
      Map<String, double[]> series,
      long eventCount) {}

  private static final long ROUND_TRIP_MICROS = 5_000;
  private static final long DRAIN_MICROS = 10_000_000;
  private static final long RESTART_MICROS = 5_000_000;
  final EventQueue events = new EventQueue();
  final Deployment deployment;
  final SimulatedNetwork network;
  final List<SimulatedCounter> counterPartitions = new ArrayList<>();
  final List<SimulatedGateway> gateways = new ArrayList<>();
  final Map<String, SimulatedBackend> backends = new LinkedHashMap<>();
  private final List<TraceEvent> trace = new ArrayList<>();
  private final Map<String, EndpointState> endpointStates = new HashMap<>();
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Set<String> poisonedRequests = new HashSet<>();
  private final SplittableRandom random;
  private long nextOperation;
  private final double[] checkedRequestsBySecond;
  private long requestCount;

  /**
   * Set by troubles: shares of clients that leave early and of requests that kill, tries of a
   * storm, a roster that is mute.
   */
  double earlyDisconnectRatio;

  double poisonRatio;
  int retryStormAttempts;
  boolean isDiscoveryMuted;

  /**
   * @param maker makes each gatekeeper's decisions
   */
  public Simulation(Deployment deployment, Function<PolicyConfig, GatewayPolicy> maker) {
    this.deployment = deployment;
    random = new SplittableRandom(deployment.seed());
    checkedRequestsBySecond = new double[(int) Math.ceil(deployment.durationSeconds())];
    network = new SimulatedNetwork(events, deployment.network(), random.split());
    for (int i = 0; i < deployment.counter().partitionCount(); i++) {
      counterPartitions.add(
          new SimulatedCounter(
              "counter" + i,
              events,
              deployment.counter(),
              random.split(),
              (int) Math.ceil(deployment.durationSeconds())));
    }
    deployment.requestClasses().forEach(c -> requestClasses.put(c.name(), c));
    Set<String> keys = new HashSet<>();
    for (int i = 0; i < deployment.backendCount(); i++) {
      SimulatedBackend worker =
          new SimulatedBackend(
              i,
              events,
              deployment,
              random.split(),
              trace,
              keys,
              poisonedRequests::contains,
              this::onBackendCrash);
      backends.put(worker.id, worker);
      endpointStates.put(worker.id, EndpointState.RUNNING);
      worker.start(false);
    }
    for (int i = 0; i < deployment.gatewayCount(); i++) {
      PolicyConfig settings =
          new PolicyConfig(
              i,
              deployment.gatewayCount(),
              deployment.seed() + i,
              ROUND_TRIP_MICROS,
              "",
              false,
              deployment.requestClasses(),
              deployment.plans(),
              deployment.limits(),
              deployment.rules(),
              new CounterConfig(true, deployment.counter().timeoutMicros(), false));
      SimulatedGateway made = new SimulatedGateway(i, this, () -> maker.apply(settings));
      gateways.add(made);
      sendSnapshot(made);
    }
  }

  /** Something that happens at a second of the run. */
  public Simulation scheduleAt(double second, Consumer<Simulation> what) {
    events.scheduleAt((long) (second * 1e6), () -> what.accept(this));
    return this;
  }

  /** Runs all of it, until long after the last client asked. */
  public SimulationResult run() {
    Map<String, Plan> plans = deployment.customerPlans();
    deployment.demands().forEach(this::startDemand);
    events.runUntil((long) (deployment.durationSeconds() * 1e6) + DRAIN_MICROS);
    long slack =
        2 * deployment.network().minDelayMicros()
            + 40 * deployment.network().meanExtraDelayMicros();
    Measures.Told told =
        Measures.of(
            trace,
            requestClasses,
            plans,
            deployment.demands().stream().map(Demand::name).toList(),
            0,
            deployment.durationSeconds());
    ConformanceLimits judged =
        new ConformanceLimits(requestClasses, deployment.rules(), plans, slack);
    ConformanceResult verdict = InvariantChecker.check(trace, judged);
    double[] calls = new double[(int) Math.ceil(deployment.durationSeconds())];
    double[] queue = new double[calls.length];
    for (SimulatedCounter part : counterPartitions) {
      for (int i = 0; i < calls.length; i++) {
        calls[i] += part.callsBySecond()[i];
        queue[i] = Math.max(queue[i], part.queueMillisBySecond()[i]);
      }
    }
    told.series().put("counter calls", calls);
    told.series().put("tries asked", checkedRequestsBySecond);
    told.figures()
        .put(
            "asked-a-try",
            Arrays.stream(checkedRequestsBySecond).sum() / Math.max(1, requestCount));
    told.series().put("counter queue ms", queue);
    told.figures()
        .put("calls-a-try", Arrays.stream(calls).sum() / Math.max(1, verdict.requestCount()));
    told.figures().put("counter-queue-ms", Arrays.stream(queue).max().orElse(0));
    told.figures().put("worth", WeightedGoodput.shareOfOffered(trace, judged));
    told.figures().put("rules-broken", (double) verdict.violationCount());
    return new SimulationResult(
        verdict, told.statuses(), told.figures(), told.series(), events.scheduledCount());
  }

  /** A gatekeeper has taken in a try, and called the counter for it or not. */
  void recordAdmission(boolean asked) {
    requestCount++;
    int second = (int) (events.nowMicros() / 1_000_000);
    if (asked && second < checkedRequestsBySecond.length) {
      checkedRequestsBySecond[second]++;
    }
  }

  /** The counter's part that a name lies on. */
  SimulatedCounter counterPartition(String name) {
    return counterPartitions.get(Math.floorMod(name.hashCode(), counterPartitions.size()));
  }

  /** A worker's process has ended by itself: it is taken off the roster, and starts again cold. */
  private void onBackendCrash(SimulatedBackend worker) {
    announceState(worker.id, EndpointState.REMOVED);
    events.scheduleAfter(
        RESTART_MICROS,
        () -> {
          if (!worker.isRunning()) {
            worker.start(true);
            announceState(worker.id, EndpointState.RUNNING);
          }
        });
  }

  /**
   * The customers of a demand, of all of them when it is empty, ask so many times more for a while
   * from now on.
   */
  void addDemand(String name, double times, double seconds) {
    deployment.demands().stream()
        .filter(d -> name.isEmpty() || d.name().equals(name))
        .forEach(
            d ->
                scheduleNextArrival(
                    d,
                    new Arrivals(
                        d.requestsPerSecond() * times, d.shape(), false, seconds, random.split()),
                    events.nowMicros(),
                    new Customers(d.customerCount(), d.skew()),
                    random.split()));
  }

  private void startDemand(Demand demand) {
    Arrivals arrivals =
        new Arrivals(
            demand.requestsPerSecond(),
            demand.shape(),
            false,
            deployment.durationSeconds(),
            random.split());
    Customers customers = new Customers(demand.customerCount(), demand.skew());
    scheduleNextArrival(demand, arrivals, 0, customers, random.split());
  }

  private void scheduleNextArrival(
      Demand demand, Arrivals arrivals, long from, Customers customers, SplittableRandom draw) {
    long at = arrivals.next();
    if (at >= 0) {
      events.scheduleAt(
          from + at,
          () -> {
            String operation = "op" + nextOperation++;
            boolean kills = poisonRatio > 0 && draw.nextDouble() < poisonRatio;
            sendRequest(demand, customers.draw(draw), operation, 1, kills, draw);
            scheduleNextArrival(demand, arrivals, from, customers, draw);
          });
    }
  }

  /** A customer comes through some gatekeepers in a row, the first by its number. */
  private void sendRequest(
      Demand demand,
      int customer,
      String operation,
      int tried,
      boolean kills,
      SplittableRandom draw) {
    int all = gateways.size();
    int spread = Math.min(all, demand.gatewaysPerCustomer());
    SimulatedGateway to =
        firstRunningGateway((int) ((customer * 7_919L + draw.nextInt(spread)) % all));
    String name = demand.name() + "-" + customer;
    String request = operation + "." + tried;
    long asked = events.nowMicros();
    long giveUpAt = asked + demand.timeoutMicros();
    String key =
        requestClasses.get(demand.requestClass()).idempotency() == Idempotency.DEDUPLICATED
            ? operation
            : "";
    if (kills) {
      poisonedRequests.add(request);
    }
    trace.add(
        new TraceEvent.RequestSent(
            asked, request, to.instanceIndex, demand.requestClass(), name, 1, giveUpAt));
    boolean[] over = {false};
    long[] id = {0};
    network.send(
        () ->
            id[0] =
                to.onRequest(
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
                                    status == SimulatedGateway.CONNECTION_LOST
                                        ? new TraceEvent.ConnectionLost(events.nowMicros(), request)
                                        : new TraceEvent.ResponseReceived(
                                            events.nowMicros(), request, status));
                                retryIfAllowed(
                                    demand, customer, operation, tried, status, wait, kills, draw);
                              }
                            })));
    long leaves =
        earlyDisconnectRatio > 0 && draw.nextDouble() < earlyDisconnectRatio
            ? 5_000 + draw.nextInt(60_000)
            : demand.clientBehavior().giveUpMicros();
    events.scheduleAfter(
        leaves,
        () -> {
          if (!over[0]) {
            over[0] = true;
            trace.add(new TraceEvent.ClientDisconnected(events.nowMicros(), request));
            network.send(() -> to.onClientDisconnected(id[0]));
            retryIfAllowed(demand, customer, operation, tried, 0, 0, kills, draw);
          }
        });
  }

  /** A gatekeeper by its number, or the next that is up. */
  private SimulatedGateway firstRunningGateway(int first) {
    for (int i = 0; i < gateways.size(); i++) {
      SimulatedGateway each = gateways.get((first + i) % gateways.size());
      if (each.isRunning()) {
        return each;
      }
    }
    return gateways.get(first);
  }

  void killGateway(SimulatedGateway gatekeeper) {
    trace.add(new TraceEvent.GatewayKilled(events.nowMicros(), gatekeeper.instanceIndex));
    gatekeeper.kill();
  }

  private void retryIfAllowed(
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
            || requestClasses.get(demand.requestClass()).idempotency() != Idempotency.AT_MOST_ONCE;
    Manners manners =
        retryStormAttempts == 0
            ? demand.clientBehavior()
            : new Manners(0, Manners.Retry.AT_ONCE, 0, retryStormAttempts, false);
    long again =
        harmless
            ? manners.again(Math.max(0, status), (waitMicros + 999_999) / 1_000_000, tried)
            : -1;
    if (again >= 0) {
      events.scheduleAfter(
          again, () -> sendRequest(demand, customer, operation, tried + 1, kills, draw));
    }
  }

  SimulatedBackend backend(String id) {
    return backends.get(id);
  }

  /**
   * Tells a gatekeeper the whole list at once: only changes take the roster's time, and a
   * gatekeeper that has no list is not ready.
   */
  void sendSnapshot(SimulatedGateway to) {
    events.scheduleAfter(
        0,
        () -> {
          List<Endpoint> all = new ArrayList<>();
          backends.values().forEach(worker -> all.add(endpointOf(worker)));
          all.forEach(server -> recordAnnouncement(to, server));
          to.onEvent(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, all));
        });
  }

  private Endpoint endpointOf(SimulatedBackend worker) {
    return new Endpoint(
        worker.id, worker.zone, 0, endpointStates.get(worker.id), 1, worker.startedAtMicros);
  }

  private void recordAnnouncement(SimulatedGateway to, Endpoint server) {
    trace.add(
        new TraceEvent.EndpointAnnounced(
            events.nowMicros(),
            to.instanceIndex,
            server.id(),
            server.state().name().toLowerCase(java.util.Locale.ROOT),
            server.startedAtMicros()));
  }

  /** The roster lists a worker otherwise, and tells all gatekeepers, each after its time. */
  public void announceState(String worker, EndpointState as) {
    endpointStates.put(worker, as);
    if (isDiscoveryMuted) {
      return;
    }
    Endpoint server = endpointOf(backends.get(worker));
    gateways.forEach(
        to ->
            events.scheduleAfter(
                deployment.discoveryDelayMicros(),
                () -> {
                  recordAnnouncement(to, server);
                  to.onEvent(new EndpointUpdate(EndpointUpdateKind.CHANGES, List.of(server)));
                }));
  }

  void forEachPeer(int from, int to, Consumer<SimulatedGateway> each) {
    gateways.stream()
        .filter(g -> g.instanceIndex != from && (to < 0 || g.instanceIndex == to))
        .forEach(each);
  }
}
