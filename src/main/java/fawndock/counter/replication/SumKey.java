package fawndock.counter.replication;

/**
 * Which sum: one origin's on one name.
 *
 * @param name of the count
 * @param origin incarnation of the gateway that the sum belongs to
 */
record SumKey(String name, long origin) {}
