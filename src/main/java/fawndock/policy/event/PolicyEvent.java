package fawndock.policy.event;

/** Something that happened, reported to the policy by its runner. */
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
