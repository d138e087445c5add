package fawndock.policy.event;

import java.util.List;

/** What discovery has to say about the servers. */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints)
    implements PolicyEvent {}
