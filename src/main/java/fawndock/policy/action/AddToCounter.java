package fawndock.policy.action;

/**
 * Adds units to a counter of the counter service; a {@link fawndock.policy.event.CounterReply}
 * follows.
 *
 * @param counterName name of the counter; a counter that does not exist starts at 0
 * @param amount units to add; 0 only reads the counter, and a negative amount subtracts
 * @param timeToLiveMicros time after which a new counter may be deleted, in microseconds
 */
public record AddToCounter(String counterName, double amount, long timeToLiveMicros)
    implements PolicyAction {}
