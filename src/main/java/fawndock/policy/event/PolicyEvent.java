package fawndock.policy.event;

/** Something that happened. */
public sealed interface PolicyEvent
    permits EndpointUpdate,
        RequestArrived,
        ResponseStarted,
        AttemptCompleted,
        HealthCheckCompleted,
        ClientDisconnected,
        TimerFired,
        CounterReply,
        PeerMessageReceived {}
