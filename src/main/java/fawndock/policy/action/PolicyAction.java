package fawndock.policy.action;

/** Something that the policy has decided and its runner carries out. */
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
