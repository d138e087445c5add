package fawndock.policy.config;

/** The figures of the rules that a gatekeeper keeps. */
public record ServiceRules(
    long answerGraceMicros,
    long drainGraceMicros,
    double slowStartShare,
    long slowStartMicros,
    double collapseMultiple,
    long collapseWindowMicros,
    long watchWithinMicros) {}
