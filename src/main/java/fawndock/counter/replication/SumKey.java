package fawndock.counter.replication;

/**
 * Key of a replicated sum: the name and the origin.
 *
 * @param name name of the counter
 * @param origin incarnation number of the gateway that the sum belongs to
 */
record SumKey(String name, long origin) {}
