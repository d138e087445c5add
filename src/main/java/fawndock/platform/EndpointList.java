package fawndock.platform;

import fawndock.policy.event.Endpoint;
import fawndock.settings.Address;
import java.util.List;
import java.util.Map;

/**
 * One list of endpoints from endpoint discovery, as decoded by {@link EndpointListCodec}.
 *
 * @param version version of the list, which grows with each change
 * @param isSnapshot whether the list is complete, rather than only the changed endpoints
 * @param addresses addresses of the endpoints by endpoint id
 */
record EndpointList(
    long version, boolean isSnapshot, List<Endpoint> endpoints, Map<String, Address> addresses) {
  static final EndpointList EMPTY = new EndpointList(0, true, List.of(), Map.of());
}
