package fawndock.policy.action;

/** An action that the policy has decided on and that its runner carries out. */
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
