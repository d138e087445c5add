package fawndock.simulation;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.FetchEndpoints;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.StartHealthCheck;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * A gatekeeper's host in simulated time: carries out what the decisions say, as the gateway does
 * over sockets.
 */
final class SimulatedGateway {
  /**
   * A client's request, and where its final answer goes: a status, and the advice to wait in
   * microseconds.
   */
  private static final class InFlightRequest {
    final RequestArrived request;
    final String traceId;
    final String idempotencyKey;
    final BiConsumer<Integer, Long> onResponse;

    /** Attempts that are out, each with its server. */
    final Map<Integer, String> endpointByAttempt = new HashMap<>();

    int attemptCount;
    boolean isAnswered;

    InFlightRequest(
        RequestArrived request, String name, String key, BiConsumer<Integer, Long> answer) {
      this.request = request;
      this.traceId = name;
      this.idempotencyKey = key;
      this.onResponse = answer;
    }
  }

  /** In the place of a status: the connection broke. */
  static final int CONNECTION_LOST = -1;

  final int instanceIndex;
  private final Simulation simulation;
  private final Supplier<GatewayPolicy> policyFactory;
  private GatewayPolicy policy;
  private int incarnation;
  private boolean isRunning = true;
  private long clockOffsetMicros;
  private long lastClockMicros;
  private long lastReadAtMicros;
  private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
  private final ArrayDeque<PolicyEvent> pendingEvents = new ArrayDeque<>();
  private boolean isDispatching;
  private long nextRequestId = 1;

  SimulatedGateway(int me, Simulation in, Supplier<GatewayPolicy> maker) {
    this.instanceIndex = me;
    this.simulation = in;
    this.policyFactory = maker;
    this.policy = maker.get();
  }

  /** Its clock is so much ahead of the others' from now on, behind when below 0. */
  void setClockOffset(long micros) {
    clockMicros();
    clockOffsetMicros = micros;
  }

  /**
   * As the gateway's: it never runs backwards, and goes on at half the speed until what it should
   * show has caught up.
   */
  private long clockMicros() {
    long now = simulation.events.nowMicros();
    long shown = Math.max(now + clockOffsetMicros, lastClockMicros + (now - lastReadAtMicros) / 2);
    lastClockMicros = shown;
    lastReadAtMicros = now;
    return shown;
  }

  /** Its process is killed: clients' connections break, and what it knew is lost. */
  void kill() {
    isRunning = false;
    incarnation++;
    pendingEvents.clear();
    Map<Long, InFlightRequest> broken = new TreeMap<>(inFlight);
    inFlight.clear();
    broken.values().stream()
        .filter(open -> !open.isAnswered)
        .forEach(
            open -> {
              open.isAnswered = true;
              open.onResponse.accept(CONNECTION_LOST, 0L);
            });
  }

  boolean isRunning() {
    return isRunning;
  }

  void start() {
    policy = policyFactory.get();
    isRunning = true;
    simulation.discovery.sendSnapshot(this);
  }

  /** A request has arrived; returns its number. */
  long onRequest(RequestArrived asked, String name, String key, BiConsumer<Integer, Long> answer) {
    long id = nextRequestId++;
    if (!isRunning) {
      answer.accept(CONNECTION_LOST, 0L);
      return id;
    }
    RequestArrived request =
        new RequestArrived(
            id,
            asked.requestClass(),
            asked.plan(),
            asked.customer(),
            asked.deadlineAtMicros() - simulation.events.nowMicros() + clockMicros(),
            asked.units(),
            asked.customerInstanceCount(),
            asked.customerFirstInstanceIndex(),
            asked.isRetry());
    inFlight.put(id, new InFlightRequest(request, name, key, answer));
    onEvent(request);
    return id;
  }

  /** The client of a request has left. */
  void onClientDisconnected(long id) {
    InFlightRequest open = inFlight.get(id);
    if (open != null && !open.isAnswered) {
      open.isAnswered = true;
      onEvent(new ClientDisconnected(id));
      removeIfDone(open);
    }
  }

  void onEvent(PolicyEvent event) {
    if (!isRunning) {
      return;
    }
    pendingEvents.add(event);
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    for (PolicyEvent next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
      List<PolicyAction> actions = policy.onEvent(clockMicros(), next);
      if (next instanceof RequestArrived) {
        simulation.recordAdmission(actions.stream().anyMatch(AddToCounter.class::isInstance));
      }
      actions.forEach(this::execute);
    }
    isDispatching = false;
  }

  private void execute(PolicyAction action) {
    if (action instanceof StartAttempt a) {
      startAttempt(a);
    } else if (action instanceof RejectRequest a) {
      respond(a.requestId(), 429, a.retryAfterMicros());
    } else if (action instanceof FailRequest a) {
      respond(a.requestId(), 504, 0);
    } else if (action instanceof AddToCounter a) {
      addToCounter(a);
    } else if (action instanceof ScheduleTimer a) {
      scheduleAfter(a.delayMicros(), () -> onEvent(new TimerFired(a.timer())));
    } else if (action instanceof CancelAttempt a) {
      InFlightRequest open = inFlight.get(a.requestId());
      if (open != null) {
        completeAttempt(open, a.attemptIndex(), 0, CallResult.CANCELLED, Map.of());
      }
    } else if (action instanceof StartHealthCheck a) {
      startHealthCheck(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      simulation.forEachPeer(
          instanceIndex,
          a.toInstance(),
          to ->
              simulation.network.sendLossy(
                  "g" + instanceIndex,
                  "g" + to.instanceIndex,
                  () -> to.onEvent(new PeerMessageReceived(instanceIndex, a.text()))));
    } else if (action instanceof FetchEndpoints) {
      simulation.discovery.sendSnapshot(this);
    }
  }

  /** Something of this process: nothing once it has been killed. */
  private void scheduleAfter(long micros, Runnable what) {
    int mine = incarnation;
    simulation.events.scheduleAfter(
        micros,
        () -> {
          if (mine == incarnation) {
            what.run();
          }
        });
  }

  private void respond(long id, int status, long retryAfter) {
    InFlightRequest open = inFlight.get(id);
    if (open != null && !open.isAnswered) {
      open.isAnswered = true;
      open.onResponse.accept(status, retryAfter);
      removeIfDone(open);
    }
  }

  private void startAttempt(StartAttempt a) {
    InFlightRequest open = inFlight.get(a.requestId());
    if (open == null) {
      throw new IllegalStateException(
          "an attempt for request " + a.requestId() + ", which is not held");
    }
    int number = open.attemptCount++;
    open.endpointByAttempt.put(number, a.endpointId());
    long now = simulation.events.nowMicros();
    long abandonAt =
        now
            - clockMicros()
            + (a.deadlineAtMicros() <= 0
                ? open.request.deadlineAtMicros()
                : Math.min(a.deadlineAtMicros(), open.request.deadlineAtMicros()));
    SimulatedBackend worker = simulation.backend(a.endpointId());
    if (open.isAnswered
        || worker == null
        || number >= simulation.deployment.limits().maxAttempts()
        || abandonAt <= now) {
      scheduleAfter(0, () -> completeAttempt(open, number, 0, CallResult.NOT_SENT, Map.of()));
      return;
    }
    simulation.network.send(
        () ->
            worker.onAttempt(
                open.traceId,
                open.idempotencyKey,
                (result, load) ->
                    simulation.network.send(
                        () ->
                            completeAttempt(
                                open, number, simulation.events.nowMicros() - now, result, load))));
    simulation.events.scheduleAt(
        abandonAt,
        () ->
            completeAttempt(
                open, number, simulation.events.nowMicros() - now, CallResult.TIMEOUT, Map.of()));
  }

  /** An attempt ended, unless it had already. */
  private void completeAttempt(
      InFlightRequest open, int number, long took, CallResult result, Map<String, Double> load) {
    String server = open.endpointByAttempt.remove(number);
    if (server == null || inFlight.get(open.request.requestId()) != open) {
      return;
    }
    if (result == CallResult.OK && !open.isAnswered) {
      open.isAnswered = true;
      open.onResponse.accept(200, 0L);
    }
    onEvent(
        new AttemptCompleted(
            open.request.requestId(), number, server, took, result, open.isAnswered, 0, load));
    removeIfDone(open);
  }

  private void removeIfDone(InFlightRequest open) {
    if (open.isAnswered && open.endpointByAttempt.isEmpty()) {
      inFlight.remove(open.request.requestId());
    }
  }

  private void addToCounter(AddToCounter a) {
    long at = simulation.events.nowMicros();
    boolean[] over = {false};
    int mine = incarnation;
    SimulatedCounter part = simulation.counterPartition(a.counterName());
    simulation.network.sendLossy(
        "g" + instanceIndex,
        part.name,
        () ->
            part.add(
                a.counterName(),
                a.amount(),
                a.timeToLiveMicros(),
                (result, total) ->
                    simulation.network.sendLossy(
                        part.name,
                        "g" + instanceIndex,
                        () -> {
                          if (mine == incarnation) {
                            completeCounterCall(
                                over,
                                new CounterReply(
                                    a.counterName(),
                                    result,
                                    total,
                                    simulation.events.nowMicros() - at));
                          }
                        })));
    long wait = simulation.deployment.counter().timeoutMicros();
    scheduleAfter(
        wait,
        () ->
            completeCounterCall(
                over, new CounterReply(a.counterName(), CallResult.TIMEOUT, 0, wait)));
  }

  private void completeCounterCall(boolean[] over, CounterReply counted) {
    if (!over[0]) {
      over[0] = true;
      onEvent(counted);
    }
  }

  private void startHealthCheck(String server) {
    SimulatedBackend worker = simulation.backend(server);
    long at = simulation.events.nowMicros();
    simulation.network.send(
        () ->
            simulation.network.send(
                () ->
                    onEvent(
                        new HealthCheckCompleted(
                            server,
                            simulation.events.nowMicros() - at,
                            worker != null && worker.isRunning() && !worker.isUnresponsive
                                ? CallResult.OK
                                : CallResult.TIMEOUT,
                            Map.of()))));
  }
}
