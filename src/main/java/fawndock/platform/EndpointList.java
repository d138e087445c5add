package fawndock.platform;

import fawndock.policy.event.Endpoint;
import fawndock.settings.Address;
import java.util.List;
import java.util.Map;

/**
 * One list of endpoints from endpoint discovery; read by {@link EndpointListCodec}.
 *
 * @param version grows with each change
 * @param isSnapshot whether the list is complete, rather than only what has changed
 * @param addresses where each endpoint listens, by id
 */
record EndpointList(
    long version, boolean isSnapshot, List<Endpoint> endpoints, Map<String, Address> addresses) {
  static final EndpointList EMPTY = new EndpointList(0, true, List.of(), Map.of());
}
