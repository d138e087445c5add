package fawndock.policy.action;

/**
 * Adds to a counter of the counter service; a {@link fawndock.policy.event.CounterReply} is due.
 *
 * @param counterName the counter; one that does not exist begins at 0
 * @param amount units to add; 0 only reads, a negative amount takes back
 * @param timeToLiveMicros when a new counter may be forgotten, in microseconds
 */
public record AddToCounter(String counterName, double amount, long timeToLiveMicros)
    implements PolicyAction {}
