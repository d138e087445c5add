package fawndock.counter.storage;

/**
 * What the commands do to the table, each change noted for the log. An expired name is as one that
 * is not there, also when it is added to before it was swept. Nothing is changed when a command
 * throws.
 */
public final class CounterOperations {
  /**
   * When an expiry is set: always, when there is none, when there is one, only to a later, only to
   * an earlier one.
   */
  public enum ExpiryCondition {
    ALWAYS,
    NX,
    XX,
    GT,
    LT
  }

  /** Latest expiry, in milliseconds since 1970. */
  public static final long MAX_EXPIRY_MILLIS = Long.MAX_VALUE >> 2;

  private final CounterTable table;
  private final long maxMemoryBytes;

  /**
   * @param maxMemoryBytes of memory for names; a new name beyond it is rejected
   */
  public CounterOperations(CounterTable table, long maxMemoryBytes) {
    this.table = table;
    this.maxMemoryBytes = maxMemoryBytes;
  }

  public CounterTable table() {
    return table;
  }

  /** Most bytes of changes that a command on such a name notes. */
  public static long maxChangeBytes(byte[] name) {
    return (long) ChangeRecord.AMOUNT_CHANGE_OVERHEAD_BYTES + name.length;
  }

  /**
   * Adds to a name; one that is not there begins at zero.
   *
   * @param timeToLiveMillis after which it expires if it has no expiry yet, or 0 for none
   * @return the total
   */
  public DecimalAmount add(
      byte[] name, DecimalAmount by, long timeToLiveMillis, long nowMillis, ChangeRecord changes)
      throws CommandException {
    DecimalAmount current = table.get(name, nowMillis);
    long expiryMillis = current == null ? 0 : table.expiryMillis(name, nowMillis);
    DecimalAmount total = current == null ? by : current.plus(by);
    if (current == null) {
      requireMemoryFor(name);
    }
    if (expiryMillis == 0 && timeToLiveMillis > 0) {
      expiryMillis = nowMillis + timeToLiveMillis;
    }
    put(name, total, expiryMillis, changes);
    return total;
  }

  /**
   * Guards against names that fill the heap, which ends the service for all. May reject new names
   * while expired ones are not swept yet.
   *
   * @throws CommandException when there is no memory for one more name
   */
  public void requireMemoryFor(byte[] name) throws CommandException {
    if (table.memoryBytes() + name.length + CounterTable.NAME_OVERHEAD_BYTES > maxMemoryBytes) {
      throw new CommandException(CommandException.OUT_OF_MEMORY);
    }
  }

  /** Sets a name, whatever it was; expiry in milliseconds since 1970, or 0 for none. */
  public void put(byte[] name, DecimalAmount amount, long expiryMillis, ChangeRecord changes) {
    table.put(name, amount, expiryMillis);
    changes.putAmount(name, amount, expiryMillis);
  }

  /** Forgets a name; returns whether it was there. */
  public boolean delete(byte[] name, long nowMillis, ChangeRecord changes) {
    if (table.get(name, nowMillis) == null) {
      return false;
    }
    table.remove(name);
    changes.putDeleted(name);
    return true;
  }

  /** Sets when a name expires; a time that is past forgets it. Returns whether it did either. */
  public boolean expire(
      byte[] name, long atMillis, ExpiryCondition condition, long nowMillis, ChangeRecord changes) {
    DecimalAmount amount = table.get(name, nowMillis);
    if (amount == null) {
      return false;
    }
    long current = table.expiryMillis(name, nowMillis);
    boolean applies =
        switch (condition) {
          case ALWAYS -> true;
          case NX -> current == 0;
          case XX -> current != 0;
          case GT ->
              current != 0 && atMillis > current; // None counts as never, and nothing is later.
          case LT -> current == 0 || atMillis < current;
        };
    if (applies && atMillis <= nowMillis) {
      delete(name, nowMillis, changes);
    } else if (applies) {
      put(name, amount, atMillis, changes);
    }
    return applies;
  }

  /** Lets a name stay for good; returns whether it had an expiry. */
  public boolean persist(byte[] name, long nowMillis, ChangeRecord changes) {
    boolean hadExpiry = table.expiryMillis(name, nowMillis) > 0;
    if (hadExpiry) {
      put(name, table.get(name, nowMillis), 0, changes);
    }
    return hadExpiry;
  }
}
