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
   * @param mostBytes of memory for names; a new name beyond it is refused
   */
  public CounterOperations(CounterTable table, long mostBytes) {
    this.table = table;
    this.maxMemoryBytes = mostBytes;
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
   * @param keep milliseconds after which it expires if it has no expiry yet, or 0 for none
   * @return the total
   */
  public DecimalAmount add(byte[] name, DecimalAmount by, long keep, long now, ChangeRecord to)
      throws CommandException {
    DecimalAmount was = table.get(name, now);
    long expiry = was == null ? 0 : table.expiryMillis(name, now);
    DecimalAmount sum = was == null ? by : was.plus(by);
    if (was == null) {
      requireMemoryFor(name);
    }
    put(name, sum, expiry == 0 && keep > 0 ? now + keep : expiry, to);
    return sum;
  }

  /**
   * Guards against names that fill the heap, which ends the service for all. May refuse new names
   * while expired ones are not swept yet.
   *
   * @throws CommandException when there is no room for one more name
   */
  public void requireMemoryFor(byte[] name) throws CommandException {
    if (table.memoryBytes() + name.length + CounterTable.NAME_OVERHEAD_BYTES > maxMemoryBytes) {
      throw new CommandException(CommandException.OUT_OF_MEMORY);
    }
  }

  /** Sets a name, whatever it was; expiry in milliseconds since 1970, or 0 for none. */
  public void put(byte[] name, DecimalAmount amount, long expiry, ChangeRecord to) {
    table.put(name, amount, expiry);
    to.putAmount(name, amount, expiry);
  }

  /** Forgets a name; returns whether it was there. */
  public boolean delete(byte[] name, long now, ChangeRecord to) {
    if (table.get(name, now) == null) {
      return false;
    }
    table.remove(name);
    to.putDeleted(name);
    return true;
  }

  /** Sets when a name expires; a time that is past forgets it. Returns whether it did either. */
  public boolean expire(byte[] name, long at, ExpiryCondition when, long now, ChangeRecord to) {
    DecimalAmount amount = table.get(name, now);
    if (amount == null) {
      return false;
    }
    long has = table.expiryMillis(name, now);
    boolean does =
        switch (when) {
          case ALWAYS -> true;
          case NX -> has == 0;
          case XX -> has != 0;
          case GT -> has != 0 && at > has; // None counts as never, and nothing is later.
          case LT -> has == 0 || at < has;
        };
    if (does && at <= now) {
      delete(name, now, to);
    } else if (does) {
      put(name, amount, at, to);
    }
    return does;
  }

  /** Lets a name stay for good; returns whether it had an expiry. */
  public boolean persist(byte[] name, long now, ChangeRecord to) {
    boolean had = table.expiryMillis(name, now) > 0;
    if (had) {
      put(name, table.get(name, now), 0, to);
    }
    return had;
  }
}
