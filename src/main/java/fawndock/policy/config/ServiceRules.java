package fawndock.policy.config;

/**
 * Durations and ratios of the rules that a site sets.
 *
 * @param answerGraceMicros how long after the deadline a final response may be sent, in
 *     microseconds
 * @param drainGraceMicros how long after an endpoint starts to drain it may be sent requests, in
 *     microseconds
 * @param slowStartInitialRatio capacity of an endpoint when it starts, as a ratio of its full
 *     capacity, from 0 to 1
 * @param slowStartMicros time from the start of an endpoint until it has its full capacity, in
 *     microseconds
 * @param slowStartOverloadRatio multiple of its current capacity above which an endpoint in slow
 *     start fails from overload
 * @param slowStartOverloadWindowMicros period over which the load is measured for that ratio, in
 *     microseconds
 * @param watchWithinMicros time within which endpoint discovery must be watched, in microseconds
 */
public record ServiceRules(
    long answerGraceMicros,
    long drainGraceMicros,
    double slowStartInitialRatio,
    long slowStartMicros,
    double slowStartOverloadRatio,
    long slowStartOverloadWindowMicros,
    long watchWithinMicros) {}
