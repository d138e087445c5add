package fawndock.simulation;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.conformance.WeightedGoodput;
import fawndock.measurement.TraceMetrics;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.EndpointState;
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
 * One run of a deployment in simulated time, on the calling thread. The same deployment, faults and
 * policy give exactly the same result on every machine. Single-threaded.
 */
public final class Simulation {
  private static final long ROUND_TRIP_MICROS = 5_000;

  /** Time that the run continues after the arrivals end, so that all requests complete. */
  private static final long DRAIN_MICROS = 10_000_000;

  private static final long RESTART_MICROS = 5_000_000;
  final EventQueue events = new EventQueue();
  final Deployment deployment;
  final SimulatedNetwork network;
  final SimulatedDiscovery discovery;
  final SimulatedClients clients;
  final List<SimulatedCounter> counterPartitions = new ArrayList<>();
  final List<SimulatedGateway> gateways = new ArrayList<>();
  final Map<String, SimulatedBackend> backends = new LinkedHashMap<>();
  private final List<TraceEvent> trace = new ArrayList<>();
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final double[] checkedRequestsBySecond;
  private long admittedRequests;

  /**
   * Creates a simulation that has not started.
   *
   * @param policyFactory creates the policy of each gateway
   */
  public Simulation(Deployment deployment, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.deployment = deployment;
    // The result for a seed depends on the order of these splits.
    SplittableRandom random = new SplittableRandom(deployment.seed());
    checkedRequestsBySecond = new double[seconds()];
    network = new SimulatedNetwork(events, deployment.network(), random.split());
    discovery = new SimulatedDiscovery(this, trace);
    clients = new SimulatedClients(this, trace, requestClasses, random);
    deployment
        .requestClasses()
        .forEach(requestClass -> requestClasses.put(requestClass.name(), requestClass));
    addCounterPartitions(random);
    addBackends(random);
    addGateways(policyFactory);
  }

  private int seconds() {
    return (int) Math.ceil(deployment.durationSeconds());
  }

  private void addCounterPartitions(SplittableRandom random) {
    for (int i = 0; i < deployment.counter().partitionCount(); i++) {
      counterPartitions.add(
          new SimulatedCounter(
              "counter" + i, events, deployment.counter(), random.split(), seconds()));
    }
  }

  private void addBackends(SplittableRandom random) {
    Set<String> appliedKeys = new HashSet<>();
    for (int i = 0; i < deployment.backendCount(); i++) {
      SimulatedBackend backend =
          new SimulatedBackend(
              i,
              events,
              deployment,
              random.split(),
              trace,
              appliedKeys,
              clients::isPoisoned,
              this::onBackendCrash);
      backends.put(backend.id, backend);
      discovery.register(backend.id);
      backend.start(false);
    }
  }

  private void addGateways(Function<PolicyConfig, GatewayPolicy> policyFactory) {
    for (int i = 0; i < deployment.gatewayCount(); i++) {
      PolicyConfig config = policyConfig(i);
      SimulatedGateway gateway = new SimulatedGateway(i, this, () -> policyFactory.apply(config));
      gateways.add(gateway);
      discovery.sendSnapshot(gateway);
    }
  }

  private PolicyConfig policyConfig(int instanceIndex) {
    return new PolicyConfig(
        instanceIndex,
        deployment.gatewayCount(),
        deployment.seed() + instanceIndex,
        ROUND_TRIP_MICROS,
        "",
        false,
        deployment.requestClasses(),
        deployment.plans(),
        deployment.limits(),
        deployment.rules(),
        new CounterConfig(true, deployment.counter().timeoutMicros(), false));
  }

  /** Schedules an action at a second of the run. Must be called before {@link #run}. */
  public Simulation scheduleAt(double second, Consumer<Simulation> action) {
    events.scheduleAt((long) (second * 1e6), () -> action.accept(this));
    return this;
  }

  /** Runs until some time after the arrivals end, and measures the run. Must be called once. */
  public SimulationResult run() {
    deployment.demands().forEach(clients::startDemand);
    events.runUntil((long) (deployment.durationSeconds() * 1e6) + DRAIN_MICROS);
    Map<String, Plan> plans = deployment.customerPlans();
    ConformanceLimits limits =
        new ConformanceLimits(requestClasses, deployment.rules(), plans, toleranceMicros());
    ConformanceResult conformance = InvariantChecker.check(trace, limits);
    TraceMetrics.Metrics measured =
        TraceMetrics.of(
            trace,
            requestClasses,
            plans,
            deployment.demands().stream().map(Demand::name).toList(),
            0,
            deployment.durationSeconds());
    addCounterFigures(measured, conformance.requestCount());
    measured.figures().put("worth", WeightedGoodput.shareOfOffered(trace, limits));
    measured.figures().put("rules-broken", (double) conformance.violationCount());
    return new SimulationResult(
        conformance,
        measured.responsesByStatus(),
        measured.figures(),
        measured.series(),
        events.scheduledCount());
  }

  private long toleranceMicros() {
    return 2 * deployment.network().minDelayMicros()
        + 40 * deployment.network().meanExtraDelayMicros();
  }

  private void addCounterFigures(TraceMetrics.Metrics measured, int requestCount) {
    double[] calls = new double[seconds()];
    double[] queueMillis = new double[calls.length];
    for (SimulatedCounter partition : counterPartitions) {
      for (int i = 0; i < calls.length; i++) {
        calls[i] += partition.callsBySecond()[i];
        queueMillis[i] = Math.max(queueMillis[i], partition.queueMillisBySecond()[i]);
      }
    }
    double checkedRequests = Arrays.stream(checkedRequestsBySecond).sum();
    measured.series().put("counter calls", calls);
    measured.series().put("tries asked", checkedRequestsBySecond);
    measured.figures().put("asked-a-try", checkedRequests / Math.max(1, admittedRequests));
    measured.series().put("counter queue ms", queueMillis);
    measured.figures().put("calls-a-try", Arrays.stream(calls).sum() / Math.max(1, requestCount));
    measured.figures().put("counter-queue-ms", Arrays.stream(queueMillis).max().orElse(0));
  }

  /**
   * Records that a gateway received a request.
   *
   * @param isChecked whether the gateway called the counter when the request arrived
   */
  void recordAdmission(boolean isChecked) {
    admittedRequests++;
    int second = (int) (events.nowMicros() / 1_000_000);
    if (isChecked && second < checkedRequestsBySecond.length) {
      checkedRequestsBySecond[second]++;
    }
  }

  /** Returns the partition of the counter that stores a counter name. */
  SimulatedCounter counterPartition(String counterName) {
    return counterPartitions.get(Math.floorMod(counterName.hashCode(), counterPartitions.size()));
  }

  /** Removes a crashed backend from discovery and restarts it later, with a slow start. */
  private void onBackendCrash(SimulatedBackend backend) {
    discovery.announceState(backend.id, EndpointState.REMOVED);
    events.scheduleAfter(
        RESTART_MICROS,
        () -> {
          if (!backend.isRunning()) {
            backend.start(true);
            discovery.announceState(backend.id, EndpointState.RUNNING);
          }
        });
  }

  /**
   * Returns the first running gateway from an index on, or the gateway at the index when none is
   * running.
   */
  SimulatedGateway firstRunningGateway(int index) {
    for (int i = 0; i < gateways.size(); i++) {
      SimulatedGateway gateway = gateways.get((index + i) % gateways.size());
      if (gateway.isRunning()) {
        return gateway;
      }
    }
    return gateways.get(index);
  }

  void killGateway(SimulatedGateway gateway) {
    trace.add(new TraceEvent.GatewayKilled(events.nowMicros(), gateway.instanceIndex));
    gateway.kill();
  }

  /** Returns the backend with an endpoint id, or null. */
  SimulatedBackend backend(String endpointId) {
    return backends.get(endpointId);
  }

  /**
   * Applies an action to the peers of a gateway.
   *
   * @param toInstance index of one peer; below 0 for all peers
   */
  void forEachPeer(int fromInstance, int toInstance, Consumer<SimulatedGateway> action) {
    gateways.stream()
        .filter(
            gateway ->
                gateway.instanceIndex != fromInstance
                    && (toInstance < 0 || gateway.instanceIndex == toInstance))
        .forEach(action);
  }
}
