package fawndock.counter.storage;

/**
 * The write operations of the commands: each changes the table and appends the change to a record
 * for the log. An expired name counts as absent even before it is swept. An operation that throws
 * changes nothing. Not thread-safe.
 */
public final class CounterOperations {
  /**
   * Condition for setting an expiry: always, only if the name has none (NX), only if it has one
   * (XX), only if the new expiry is later (GT), only if it is earlier (LT).
   */
  public enum ExpiryCondition {
    ALWAYS,
    NX,
    XX,
    GT,
    LT
  }

  /** Maximum expiry, in milliseconds since 1970. */
  public static final long MAX_EXPIRY_MILLIS = Long.MAX_VALUE >> 2;

  private final CounterTable table;
  private final long maxMemoryBytes;

  /**
   * @param maxMemoryBytes memory limit for names; a new name that would exceed it is rejected
   */
  public CounterOperations(CounterTable table, long maxMemoryBytes) {
    this.table = table;
    this.maxMemoryBytes = maxMemoryBytes;
  }

  public CounterTable table() {
    return table;
  }

  /** Returns the maximum size of a change to this name, in bytes. */
  public static long maxChangeBytes(byte[] name) {
    return (long) ChangeRecord.AMOUNT_CHANGE_OVERHEAD_BYTES + name.length;
  }

  /**
   * Adds to the amount of a name; an absent name starts at zero.
   *
   * @param timeToLiveMillis time to live to set if the name has no expiry yet, or 0 for none
   * @return the new amount
   */
  public DecimalAmount add(
      byte[] name,
      DecimalAmount increment,
      long timeToLiveMillis,
      long nowMillis,
      ChangeRecord changes)
      throws CommandException {
    DecimalAmount current = table.get(name, nowMillis);
    long expiryMillis = current == null ? 0 : table.expiryMillis(name, nowMillis);
    DecimalAmount total = current == null ? increment : current.plus(increment);
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
   * Checks that the memory limit allows one more name; without this check, new names could fill the
   * heap and stop the counter for all clients. May reject a new name while expired names are not
   * swept yet.
   *
   * @throws CommandException when the name would exceed the memory limit
   */
  public void requireMemoryFor(byte[] name) throws CommandException {
    if (table.memoryBytes() + name.length + CounterTable.NAME_OVERHEAD_BYTES > maxMemoryBytes) {
      throw new CommandException(CommandException.OUT_OF_MEMORY);
    }
  }

  /**
   * Sets the amount and expiry of a name unconditionally; the expiry is in milliseconds since 1970,
   * or 0 for none.
   */
  public void put(byte[] name, DecimalAmount amount, long expiryMillis, ChangeRecord changes) {
    table.put(name, amount, expiryMillis);
    changes.putAmount(name, amount, expiryMillis);
  }

  /** Deletes a name; returns whether it existed. */
  public boolean delete(byte[] name, long nowMillis, ChangeRecord changes) {
    if (table.get(name, nowMillis) == null) {
      return false;
    }
    table.remove(name);
    changes.putDeleted(name);
    return true;
  }

  /**
   * Sets the expiry of a name if the condition holds; an expiry in the past deletes the name.
   * Returns whether the name existed and the condition held.
   */
  public boolean expire(
      byte[] name,
      long newExpiryMillis,
      ExpiryCondition condition,
      long nowMillis,
      ChangeRecord changes) {
    DecimalAmount amount = table.get(name, nowMillis);
    if (amount == null) {
      return false;
    }
    long currentExpiryMillis = table.expiryMillis(name, nowMillis);
    boolean applies =
        switch (condition) {
          case ALWAYS -> true;
          case NX -> currentExpiryMillis == 0;
          case XX -> currentExpiryMillis != 0;
          // A name without an expiry never expires: no expiry is later.
          case GT -> currentExpiryMillis != 0 && newExpiryMillis > currentExpiryMillis;
          case LT -> currentExpiryMillis == 0 || newExpiryMillis < currentExpiryMillis;
        };
    if (applies && newExpiryMillis <= nowMillis) {
      delete(name, nowMillis, changes);
    } else if (applies) {
      put(name, amount, newExpiryMillis, changes);
    }
    return applies;
  }

  /** Removes the expiry of a name; returns whether it had one. */
  public boolean persist(byte[] name, long nowMillis, ChangeRecord changes) {
    boolean hadExpiry = table.expiryMillis(name, nowMillis) > 0;
    if (hadExpiry) {
      put(name, table.get(name, nowMillis), 0, changes);
    }
    return hadExpiry;
  }
}
