package fawndock.policy.action;

/** Something to do. */
public sealed interface PolicyAction
    permits StartAttempt,
        RejectRequest,
        FailRequest,
        AddToCounter,
        ScheduleTimer,
        CancelAttempt,
        StartHealthCheck,
        SendPeerMessage,
        FetchEndpoints,
        WatchEndpoints,
        LogMessage {}
