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
 * Endpoint discovery: a snapshot for a gateway at its start or on its request, and changes for all
 * gateways after the deployment's delay. Single-threaded, as all of a simulation.
 */
final class SimulatedDiscovery {
  private final Simulation simulation;
  private final List<TraceEvent> trace;
  private final Map<String, EndpointState> stateByEndpoint = new HashMap<>();

  /** While set, changes are kept from the gateways. */
  private boolean isMuted;

  SimulatedDiscovery(Simulation simulation, List<TraceEvent> trace) {
    this.simulation = simulation;
    this.trace = trace;
  }

  /** Lists an endpoint without notifying anyone. */
  void register(String endpointId) {
    stateByEndpoint.put(endpointId, EndpointState.RUNNING);
  }

  /** Keeps changes from all gateways, or sends each gateway what it missed. */
  void setMuted(boolean muted) {
    isMuted = muted;
    if (!muted) {
      simulation.gateways.forEach(this::sendSnapshot);
    }
  }

  /**
   * Sends a gateway the whole list at once: only changes take the deployment's delay, since a
   * gateway that has no list is not ready.
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

  /** Changes an endpoint's state and notifies all gateways after the delay. */
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
