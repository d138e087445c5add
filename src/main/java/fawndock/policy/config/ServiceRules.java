package fawndock.policy.config;

/**
 * Times and ratios of the rules that a site sets.
 *
 * @param answerGraceMicros how late a final answer may come after the deadline, in microseconds
 * @param drainGraceMicros how long after it is draining an endpoint may be sent requests, in
 *     microseconds
 * @param slowStartInitialRatio part of its work that an endpoint can do at its start, 0 to 1
 * @param slowStartMicros time until it can do all of it, in microseconds
 * @param slowStartOverloadRatio multiple of what it can do beyond which an endpoint in slow start
 *     breaks down
 * @param slowStartOverloadWindowMicros over which time that is taken, in microseconds
 * @param watchWithinMicros how soon endpoint discovery must be watched, in microseconds
 */
public record ServiceRules(
    long answerGraceMicros,
    long drainGraceMicros,
    double slowStartInitialRatio,
    long slowStartMicros,
    double slowStartOverloadRatio,
    long slowStartOverloadWindowMicros,
    long watchWithinMicros) {}
