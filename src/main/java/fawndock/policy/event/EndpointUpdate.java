package fawndock.policy.event;

import java.util.List;

/**
 * An update of the endpoints from discovery.
 *
 * @param kind how to interpret the list
 * @param endpoints the endpoints
 */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints)
    implements PolicyEvent {}
