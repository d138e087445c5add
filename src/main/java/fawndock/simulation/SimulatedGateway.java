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
import fawndock.policy.event.LoadReport;
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
 * A simulated gateway instance: passes events to the real policy and executes the policy's actions
 * in simulated time, as the gateway does over sockets. Single-threaded.
 */
final class SimulatedGateway {
  /**
   * A client's request and the callback for its response, which receives a status and a retry delay
   * in microseconds.
   */
  private static final class InFlightRequest {
    final RequestArrived request;
    final String traceId;
    final String idempotencyKey;
    final BiConsumer<Integer, Long> onResponse;

    /** The endpoint of each attempt in flight, by the attempt's index. */
    final Map<Integer, String> endpointByAttempt = new HashMap<>();

    int attemptCount;
    boolean isAnswered;

    InFlightRequest(
        RequestArrived request,
        String traceId,
        String idempotencyKey,
        BiConsumer<Integer, Long> onResponse) {
      this.request = request;
      this.traceId = traceId;
      this.idempotencyKey = idempotencyKey;
      this.onResponse = onResponse;
    }
  }

  /** A counter call without a reply yet. */
  private static final class PendingCounterCall {
    final int gatewayIncarnation;
    boolean isCompleted;

    PendingCounterCall(int gatewayIncarnation) {
      this.gatewayIncarnation = gatewayIncarnation;
    }
  }

  /** Stands for a lost connection in place of a status. */
  static final int CONNECTION_LOST = -1;

  final int instanceIndex;
  private final Simulation simulation;
  private final Supplier<GatewayPolicy> policyFactory;
  private GatewayPolicy policy;
  private int incarnation;
  private boolean isRunning = true;
  private final SkewedClock clock;
  private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
  private final ArrayDeque<PolicyEvent> pendingEvents = new ArrayDeque<>();
  private boolean isDispatching;
  private long nextRequestId = 1;

  SimulatedGateway(
      int instanceIndex, Simulation simulation, Supplier<GatewayPolicy> policyFactory) {
    this.instanceIndex = instanceIndex;
    this.simulation = simulation;
    this.policyFactory = policyFactory;
    this.clock = new SkewedClock(simulation.events);
    this.policy = policyFactory.get();
  }

  /**
   * Sets the offset of the gateway's clock from simulated time; a positive offset is ahead of it.
   */
  void setClockOffset(long micros) {
    clock.setOffset(micros);
  }

  /** Kills the process: its client connections are reset and its state is lost. */
  void kill() {
    isRunning = false;
    incarnation++;
    pendingEvents.clear();
    Map<Long, InFlightRequest> interrupted = new TreeMap<>(inFlight);
    inFlight.clear();
    interrupted.values().stream()
        .filter(pending -> !pending.isAnswered)
        .forEach(
            pending -> {
              pending.isAnswered = true;
              pending.onResponse.accept(CONNECTION_LOST, 0L);
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

  /** Handles a request; returns the id that the gateway assigns to it. */
  long onRequest(
      RequestArrived arrived,
      String traceId,
      String idempotencyKey,
      BiConsumer<Integer, Long> onResponse) {
    long id = nextRequestId++;
    if (!isRunning) {
      onResponse.accept(CONNECTION_LOST, 0L);
      return id;
    }
    RequestArrived request =
        new RequestArrived(
            id,
            arrived.requestClass(),
            arrived.plan(),
            arrived.customer(),
            arrived.deadlineAtMicros() - simulation.events.nowMicros() + clock.nowMicros(),
            arrived.units(),
            arrived.customerInstanceCount(),
            arrived.customerFirstInstanceIndex(),
            arrived.isRetry());
    inFlight.put(id, new InFlightRequest(request, traceId, idempotencyKey, onResponse));
    onEvent(request);
    return id;
  }

  /** Handles the disconnect of the client of a request. */
  void onClientDisconnected(long requestId) {
    InFlightRequest pending = inFlight.get(requestId);
    if (pending != null && !pending.isAnswered) {
      pending.isAnswered = true;
      onEvent(new ClientDisconnected(requestId));
      removeIfDone(pending);
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
      List<PolicyAction> actions = policy.onEvent(clock.nowMicros(), next);
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
      InFlightRequest pending = inFlight.get(a.requestId());
      if (pending != null) {
        completeAttempt(pending, a.attemptIndex(), 0, CallResult.CANCELLED, LoadReport.NONE);
      }
    } else if (action instanceof StartHealthCheck a) {
      startHealthCheck(a.endpointId());
    } else if (action instanceof SendPeerMessage a) {
      simulation.forEachPeer(
          instanceIndex,
          a.toInstance(),
          peer ->
              simulation.network.sendLossy(
                  "g" + instanceIndex,
                  "g" + peer.instanceIndex,
                  () -> peer.onEvent(new PeerMessageReceived(instanceIndex, a.text()))));
    } else if (action instanceof FetchEndpoints) {
      simulation.discovery.sendSnapshot(this);
    }
  }

  /** Schedules an action of this process; it does not run when the process is killed before. */
  private void scheduleAfter(long micros, Runnable action) {
    int scheduledIncarnation = incarnation;
    simulation.events.scheduleAfter(
        micros,
        () -> {
          if (scheduledIncarnation == incarnation) {
            action.run();
          }
        });
  }

  private void respond(long requestId, int status, long retryAfterMicros) {
    InFlightRequest pending = inFlight.get(requestId);
    if (pending != null && !pending.isAnswered) {
      pending.isAnswered = true;
      pending.onResponse.accept(status, retryAfterMicros);
      removeIfDone(pending);
    }
  }

  private void startAttempt(StartAttempt a) {
    InFlightRequest pending = inFlight.get(a.requestId());
    if (pending == null) {
      throw new IllegalStateException(
          "attempt for request " + a.requestId() + ", which is not in flight");
    }
    int attemptIndex = pending.attemptCount++;
    pending.endpointByAttempt.put(attemptIndex, a.endpointId());
    long nowMicros = simulation.events.nowMicros();
    long deadlineAtMicros =
        nowMicros
            - clock.nowMicros()
            + (a.deadlineAtMicros() <= 0
                ? pending.request.deadlineAtMicros()
                : Math.min(a.deadlineAtMicros(), pending.request.deadlineAtMicros()));
    SimulatedBackend backend = simulation.backend(a.endpointId());
    if (pending.isAnswered
        || backend == null
        || attemptIndex >= simulation.deployment.limits().maxAttempts()
        || deadlineAtMicros <= nowMicros) {
      scheduleAfter(
          0, () -> completeAttempt(pending, attemptIndex, 0, CallResult.NOT_SENT, LoadReport.NONE));
      return;
    }
    simulation.network.send(
        () ->
            backend.onAttempt(
                pending.traceId,
                pending.idempotencyKey,
                (result, loadReport) ->
                    simulation.network.send(
                        () ->
                            completeAttempt(
                                pending,
                                attemptIndex,
                                simulation.events.nowMicros() - nowMicros,
                                result,
                                loadReport))));
    simulation.events.scheduleAt(
        deadlineAtMicros,
        () ->
            completeAttempt(
                pending,
                attemptIndex,
                simulation.events.nowMicros() - nowMicros,
                CallResult.TIMEOUT,
                LoadReport.NONE));
  }

  /** Completes an attempt unless it is already complete. */
  private void completeAttempt(
      InFlightRequest pending,
      int attemptIndex,
      long latencyMicros,
      CallResult result,
      LoadReport loadReport) {
    String endpointId = pending.endpointByAttempt.remove(attemptIndex);
    if (endpointId == null || inFlight.get(pending.request.requestId()) != pending) {
      return;
    }
    if (result == CallResult.OK && !pending.isAnswered) {
      pending.isAnswered = true;
      pending.onResponse.accept(200, 0L);
    }
    onEvent(
        new AttemptCompleted(
            pending.request.requestId(),
            attemptIndex,
            endpointId,
            latencyMicros,
            result,
            pending.isAnswered,
            0,
            loadReport));
    removeIfDone(pending);
  }

  private void removeIfDone(InFlightRequest pending) {
    if (pending.isAnswered && pending.endpointByAttempt.isEmpty()) {
      inFlight.remove(pending.request.requestId());
    }
  }

  private void addToCounter(AddToCounter action) {
    String name = action.counterName();
    long sentAtMicros = simulation.events.nowMicros();
    PendingCounterCall call = new PendingCounterCall(incarnation);
    SimulatedCounter partition = simulation.counterPartition(name);
    simulation.network.sendLossy(
        "g" + instanceIndex,
        partition.name,
        () ->
            partition.add(
                name,
                action.amount(),
                action.timeToLiveMicros(),
                (result, total) ->
                    simulation.network.sendLossy(
                        partition.name,
                        "g" + instanceIndex,
                        () -> {
                          long latencyMicros = simulation.events.nowMicros() - sentAtMicros;
                          complete(call, new CounterReply(name, result, total, latencyMicros));
                        })));
    long timeoutMicros = simulation.deployment.counter().timeoutMicros();
    simulation.events.scheduleAfter(
        timeoutMicros,
        () -> complete(call, new CounterReply(name, CallResult.TIMEOUT, 0, timeoutMicros)));
  }

  /**
   * Passes the first reply to a call to the policy, unless the gateway was killed since the call.
   */
  private void complete(PendingCounterCall call, CounterReply reply) {
    if (!call.isCompleted && call.gatewayIncarnation == incarnation) {
      call.isCompleted = true;
      onEvent(reply);
    }
  }

  private void startHealthCheck(String endpointId) {
    SimulatedBackend backend = simulation.backend(endpointId);
    long sentAtMicros = simulation.events.nowMicros();
    simulation.network.send(
        () ->
            simulation.network.send(
                () ->
                    onEvent(
                        new HealthCheckCompleted(
                            endpointId,
                            simulation.events.nowMicros() - sentAtMicros,
                            backend != null && backend.isRunning() && !backend.isUnresponsive
                                ? CallResult.OK
                                : CallResult.TIMEOUT,
                            LoadReport.NONE))));
  }
}
