package fawndock.policy.event;

/** An event that the runner of a policy reports to it. */
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
