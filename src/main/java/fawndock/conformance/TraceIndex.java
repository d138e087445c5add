package fawndock.conformance;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.ClientDisconnected;
import fawndock.conformance.TraceEvent.ConnectionLost;
import fawndock.conformance.TraceEvent.EffectApplied;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.EndpointStarted;
import fawndock.conformance.TraceEvent.GatewayKilled;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A trace sorted by time and indexed by request, endpoint and gateway. Its contents do not change
 * after construction.
 */
final class TraceIndex {
  private record AnnouncementKey(int gatewayIndex, String endpointId) {}

  private final Map<String, RequestSent> requests = new HashMap<>();
  private final Map<String, List<ResponseReceived>> responses = new HashMap<>();
  private final Map<String, TraceEvent> disconnects = new HashMap<>();
  private final Map<String, List<AttemptArrived>> attemptsByRequest = new HashMap<>();
  private final Map<String, List<AttemptArrived>> attemptsByEndpoint = new HashMap<>();
  private final Map<String, Integer> effectsByOperation = new HashMap<>();
  private final Map<Integer, List<Long>> killsByGateway = new HashMap<>();
  private final Map<AnnouncementKey, TreeMap<Long, EndpointAnnounced>> announcements =
      new HashMap<>();
  private final List<EndpointStarted> endpointStarts = new ArrayList<>();

  TraceIndex(List<TraceEvent> trace) {
    List<TraceEvent> ordered = new ArrayList<>(trace);
    ordered.sort(Comparator.comparingLong(TraceEvent::atMicros));
    ordered.forEach(this::add);
  }

  private void add(TraceEvent event) {
    if (event instanceof RequestSent e) {
      requests.put(e.requestId(), e);
    } else if (event instanceof ResponseReceived e) {
      responses.computeIfAbsent(e.requestId(), k -> new ArrayList<>()).add(e);
    } else if (event instanceof ConnectionLost e) {
      disconnects.putIfAbsent(e.requestId(), e);
    } else if (event instanceof ClientDisconnected e) {
      disconnects.putIfAbsent(e.requestId(), e);
    } else if (event instanceof AttemptArrived e) {
      attemptsByRequest.computeIfAbsent(e.requestId(), k -> new ArrayList<>()).add(e);
      attemptsByEndpoint.computeIfAbsent(e.endpointId(), k -> new ArrayList<>()).add(e);
    } else if (event instanceof EffectApplied e) {
      effectsByOperation.merge(TraceEvent.operationOf(e.requestId()), 1, Integer::sum);
    } else if (event instanceof EndpointAnnounced e) {
      announcements
          .computeIfAbsent(
              new AnnouncementKey(e.gatewayIndex(), e.endpointId()), k -> new TreeMap<>())
          .put(e.atMicros(), e);
    } else if (event instanceof EndpointStarted e) {
      endpointStarts.add(e);
    } else if (event instanceof GatewayKilled e) {
      killsByGateway.computeIfAbsent(e.gatewayIndex(), k -> new ArrayList<>()).add(e.atMicros());
    }
  }

  /** Returns all requests in no particular order. */
  Collection<RequestSent> requests() {
    return requests.values();
  }

  /** Returns the request with an id, or null. */
  RequestSent request(String requestId) {
    return requests.get(requestId);
  }

  /** Returns the responses to a request in time order; empty when there are none. */
  List<ResponseReceived> responses(String requestId) {
    return responses.getOrDefault(requestId, List.of());
  }

  /** Returns the first connection loss or disconnect of a request's client, or null. */
  TraceEvent disconnect(String requestId) {
    return disconnects.get(requestId);
  }

  /** Returns the attempts of each request in time order, by request id. */
  Map<String, List<AttemptArrived>> attemptsByRequest() {
    return attemptsByRequest;
  }

  /** Returns the attempts of a request in time order; empty when there are none. */
  List<AttemptArrived> attempts(String requestId) {
    return attemptsByRequest.getOrDefault(requestId, List.of());
  }

  /** Returns the attempts that an endpoint received, in time order. */
  List<AttemptArrived> attemptsAt(String endpointId) {
    return attemptsByEndpoint.getOrDefault(endpointId, List.of());
  }

  /** Returns how many times an operation took effect, not counting dropped duplicates. */
  int effectCount(String operation) {
    return effectsByOperation.getOrDefault(operation, 0);
  }

  /** Returns whether a gateway's process was killed between two times, inclusive. */
  boolean wasKilledBetween(int gatewayIndex, long fromMicros, long toMicros) {
    return killsByGateway.getOrDefault(gatewayIndex, List.of()).stream()
        .anyMatch(killedAtMicros -> killedAtMicros >= fromMicros && killedAtMicros <= toMicros);
  }

  /** Returns a gateway's notifications of an endpoint by time; null when there were none. */
  NavigableMap<Long, EndpointAnnounced> announcements(int gatewayIndex, String endpointId) {
    return announcements.get(new AnnouncementKey(gatewayIndex, endpointId));
  }

  /** Returns the starts of endpoints in time order. */
  List<EndpointStarted> endpointStarts() {
    return endpointStarts;
  }
}
