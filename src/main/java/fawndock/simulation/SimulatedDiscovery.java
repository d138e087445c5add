package fawndock.simulation;

import fawndock.conformance.TraceEvent;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Simulated endpoint discovery: sends a snapshot to a gateway when it starts or requests one, and
 * changes to all gateways after the deployment's delay. Single-threaded.
 */
final class SimulatedDiscovery {
  private final Simulation simulation;
  private final List<TraceEvent> trace;
  private final Map<String, EndpointState> stateByEndpoint = new HashMap<>();

  /** While true, gateways are not notified of changes. */
  private boolean isMuted;

  SimulatedDiscovery(Simulation simulation, List<TraceEvent> trace) {
    this.simulation = simulation;
    this.trace = trace;
  }

  /** Adds an endpoint without notifying the gateways. */
  void register(String endpointId) {
    stateByEndpoint.put(endpointId, EndpointState.RUNNING);
  }

  /** Stops notifying gateways, or sends each gateway a snapshot and resumes notifications. */
  void setMuted(boolean muted) {
    isMuted = muted;
    if (!muted) {
      simulation.gateways.forEach(this::sendSnapshot);
    }
  }

  /**
   * Sends a gateway all endpoints without delay. Only changes take the deployment's delay, because
   * a gateway without a list of endpoints is not ready.
   */
  void sendSnapshot(SimulatedGateway gateway) {
    simulation.events.scheduleAfter(
        0,
        () -> {
          List<Endpoint> endpoints = new ArrayList<>();
          simulation.backends.values().forEach(backend -> endpoints.add(endpointOf(backend)));
          endpoints.forEach(endpoint -> recordAnnouncement(gateway, endpoint));
          gateway.onEvent(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints));
        });
  }

  /** Sets an endpoint's state and notifies all gateways after the deployment's delay. */
  void announceState(String endpointId, EndpointState state) {
    stateByEndpoint.put(endpointId, state);
    if (isMuted) {
      return;
    }
    Endpoint endpoint = endpointOf(simulation.backend(endpointId));
    long delayMicros = simulation.deployment.discoveryDelayMicros();
    for (SimulatedGateway gateway : simulation.gateways) {
      simulation.events.scheduleAfter(
          delayMicros,
          () -> {
            recordAnnouncement(gateway, endpoint);
            gateway.onEvent(new EndpointUpdate(EndpointUpdateKind.CHANGES, List.of(endpoint)));
          });
    }
  }

  private Endpoint endpointOf(SimulatedBackend backend) {
    return new Endpoint(
        backend.id, backend.zone, 0, stateByEndpoint.get(backend.id), 1, backend.startedAtMicros);
  }

  private void recordAnnouncement(SimulatedGateway gateway, Endpoint endpoint) {
    trace.add(
        new TraceEvent.EndpointAnnounced(
            simulation.events.nowMicros(),
            gateway.instanceIndex,
            endpoint.id(),
            endpoint.state().name().toLowerCase(Locale.ROOT),
            endpoint.startedAtMicros()));
  }
}
