package fawndock.simulation;

import fawndock.conformance.TraceEvent;
import fawndock.loadgen.ArrivalProcess;
import fawndock.loadgen.ClientBehavior;
import fawndock.loadgen.CustomerSelector;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.RequestArrived;
import fawndock.simulation.Deployment.Demand;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The simulated clients of the customers: open-loop arrivals of each demand, and the timeout and
 * the retries of each request. Random numbers are drawn in a fixed order, so that the same seed
 * gives the same requests. Single-threaded.
 */
final class SimulatedClients {
  /** Distributes the first gateways of customers evenly over the fleet; a prime number. */
  private static final long CUSTOMER_STRIDE = 7_919L;

  private static final int EARLY_DISCONNECT_MIN_MICROS = 5_000;
  private static final int EARLY_DISCONNECT_RANGE_MICROS = 60_000;
  private static final int TOO_MANY_REQUESTS = 429;

  /**
   * An operation of a customer; a retry of a request belongs to the same operation.
   *
   * @param isPoisoned whether each attempt kills the backend that processes it
   * @param random generator of the demand that the operation belongs to
   */
  private record Operation(
      Demand demand, int customer, String id, boolean isPoisoned, SplittableRandom random) {
    String customerName() {
      return demand.name() + "-" + customer;
    }
  }

  /** A request from its client's point of view. */
  private static final class ClientRequest {
    final Operation operation;
    final int attempt;
    final String id;
    boolean isCompleted;
    long gatewayRequestId;

    ClientRequest(Operation operation, int attempt) {
      this.operation = operation;
      this.attempt = attempt;
      this.id = operation.id() + "." + attempt;
    }
  }

  private final Simulation simulation;
  private final List<TraceEvent> trace;
  private final Map<String, RequestClass> requestClasses;
  private final SplittableRandom random;
  private final Set<String> poisonedRequests = new HashSet<>();
  private long nextOperation;

  /** Share of the clients that disconnect early; set by faults. */
  double earlyDisconnectRatio;

  /** Share of the operations that kill the backend that processes them; set by faults. */
  double poisonRatio;

  /** Maximum attempts per operation during a retry storm; 0 for the usual behavior of clients. */
  int retryStormAttempts;

  SimulatedClients(
      Simulation simulation,
      List<TraceEvent> trace,
      Map<String, RequestClass> requestClasses,
      SplittableRandom random) {
    this.simulation = simulation;
    this.trace = trace;
    this.requestClasses = requestClasses;
    this.random = random;
  }

  /** Returns whether a request kills the backend that processes it. */
  boolean isPoisoned(String requestId) {
    return poisonedRequests.contains(requestId);
  }

  /** Schedules the arrivals of a demand for the whole run. */
  void startDemand(Demand demand) {
    ArrivalProcess arrivals =
        new ArrivalProcess(
            demand.requestsPerSecond(),
            demand.shape(),
            false,
            simulation.deployment.durationSeconds(),
            random.split());
    CustomerSelector customers = new CustomerSelector(demand.customerCount(), demand.skew());
    scheduleNextArrival(demand, arrivals, 0, customers, random.split());
  }

  /**
   * Adds load to a demand for some seconds from now on, or to all demands when the name is empty.
   *
   * @param factor added rate relative to the demand's own rate
   */
  void addDemand(String name, double factor, double seconds) {
    simulation.deployment.demands().stream()
        .filter(demand -> name.isEmpty() || demand.name().equals(name))
        .forEach(demand -> addDemand(demand, factor, seconds));
  }

  private void addDemand(Demand demand, double factor, double seconds) {
    ArrivalProcess arrivals =
        new ArrivalProcess(
            demand.requestsPerSecond() * factor, demand.shape(), false, seconds, random.split());
    scheduleNextArrival(
        demand,
        arrivals,
        simulation.events.nowMicros(),
        new CustomerSelector(demand.customerCount(), demand.skew()),
        random.split());
  }

  private void scheduleNextArrival(
      Demand demand,
      ArrivalProcess arrivals,
      long startMicros,
      CustomerSelector customers,
      SplittableRandom demandRandom) {
    long atMicros = arrivals.nextMicros();
    if (atMicros < 0) {
      return;
    }
    simulation.events.scheduleAt(
        startMicros + atMicros,
        () -> {
          String id = "op" + nextOperation++;
          boolean isPoisoned = poisonRatio > 0 && demandRandom.nextDouble() < poisonRatio;
          int customer = customers.draw(demandRandom);
          send(new Operation(demand, customer, id, isPoisoned, demandRandom), 1);
          scheduleNextArrival(demand, arrivals, startMicros, customers, demandRandom);
        });
  }

  /**
   * Sends a request to a random gateway among those of the customer, which are consecutive and
   * start at an index that follows from the customer's.
   */
  private void send(Operation operation, int attempt) {
    Demand demand = operation.demand();
    int gatewayCount = simulation.gateways.size();
    int gatewaysPerCustomer = Math.min(gatewayCount, demand.gatewaysPerCustomer());
    long firstGateway = operation.customer() * CUSTOMER_STRIDE;
    int offset = operation.random().nextInt(gatewaysPerCustomer);
    SimulatedGateway gateway =
        simulation.firstRunningGateway((int) ((firstGateway + offset) % gatewayCount));
    ClientRequest request = new ClientRequest(operation, attempt);
    long nowMicros = simulation.events.nowMicros();
    long deadlineAtMicros = nowMicros + demand.timeoutMicros();
    if (operation.isPoisoned()) {
      poisonedRequests.add(request.id);
    }
    trace.add(
        new TraceEvent.RequestSent(
            nowMicros,
            request.id,
            gateway.instanceIndex,
            demand.requestClass(),
            operation.customerName(),
            1,
            deadlineAtMicros));
    RequestArrived arrived =
        new RequestArrived(
            0,
            demand.requestClass(),
            demand.plan(),
            operation.customerName(),
            deadlineAtMicros,
            1,
            gatewaysPerCustomer,
            (int) (firstGateway % gatewayCount),
            attempt > 1);
    simulation.network.send(() -> request.gatewayRequestId = deliver(gateway, arrived, request));
    scheduleDisconnect(request, gateway);
  }

  private long deliver(SimulatedGateway gateway, RequestArrived arrived, ClientRequest request) {
    return gateway.onRequest(
        arrived,
        request.id,
        idempotencyKey(request.operation),
        (status, retryAfterMicros) ->
            simulation.network.send(() -> onResponse(request, status, retryAfterMicros)));
  }

  private String idempotencyKey(Operation operation) {
    return idempotencyOf(operation) == Idempotency.DEDUPLICATED ? operation.id() : "";
  }

  private Idempotency idempotencyOf(Operation operation) {
    return requestClasses.get(operation.demand().requestClass()).idempotency();
  }

  private void onResponse(ClientRequest request, int status, long retryAfterMicros) {
    if (request.isCompleted) {
      return;
    }
    request.isCompleted = true;
    long nowMicros = simulation.events.nowMicros();
    trace.add(
        status == SimulatedGateway.CONNECTION_LOST
            ? new TraceEvent.ConnectionLost(nowMicros, request.id)
            : new TraceEvent.ResponseReceived(nowMicros, request.id, status));
    retryIfAllowed(request, status, retryAfterMicros);
  }

  private void scheduleDisconnect(ClientRequest request, SimulatedGateway gateway) {
    SplittableRandom demandRandom = request.operation.random();
    long delayMicros =
        earlyDisconnectRatio > 0 && demandRandom.nextDouble() < earlyDisconnectRatio
            ? EARLY_DISCONNECT_MIN_MICROS + demandRandom.nextInt(EARLY_DISCONNECT_RANGE_MICROS)
            : request.operation.demand().clientBehavior().giveUpMicros();
    simulation.events.scheduleAfter(
        delayMicros,
        () -> {
          if (!request.isCompleted) {
            request.isCompleted = true;
            trace.add(new TraceEvent.ClientDisconnected(simulation.events.nowMicros(), request.id));
            simulation.network.send(() -> gateway.onClientDisconnected(request.gatewayRequestId));
            retryIfAllowed(request, 0, 0);
          }
        });
  }

  private void retryIfAllowed(ClientRequest request, int status, long retryAfterMicros) {
    Operation operation = request.operation;
    boolean isSafe =
        status == TOO_MANY_REQUESTS || idempotencyOf(operation) != Idempotency.AT_MOST_ONCE;
    if (!isSafe) {
      return;
    }
    ClientBehavior behavior =
        retryStormAttempts == 0
            ? operation.demand().clientBehavior()
            : new ClientBehavior(0, ClientBehavior.Retry.AT_ONCE, 0, retryStormAttempts, false);
    long retryAfterSeconds = (retryAfterMicros + 999_999) / 1_000_000;
    long delayMicros =
        behavior.retryDelayMicros(Math.max(0, status), retryAfterSeconds, request.attempt);
    if (delayMicros >= 0) {
      simulation.events.scheduleAfter(delayMicros, () -> send(operation, request.attempt + 1));
    }
  }
}
