package fawndock.policy.event;

import java.util.List;

/**
 * What discovery says of the endpoints.
 *
 * @param kind how to read the list
 * @param endpoints the endpoints
 */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints)
    implements PolicyEvent {}
