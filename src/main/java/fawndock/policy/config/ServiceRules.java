package fawndock.policy.config;

/** The figures of the rules that a gatekeeper keeps. */
public record ServiceRules(
    long answerGraceMicros,
    long drainGraceMicros,
    double slowStartInitialRatio,
    long slowStartMicros,
    double slowStartOverloadRatio,
    long slowStartOverloadWindowMicros,
    long watchWithinMicros) {}
