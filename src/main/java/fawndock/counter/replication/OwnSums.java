package fawndock.counter.replication;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The amounts that this gateway has added to each name and withdrawn from it. Both only grow until
 * the name expires. Confined to one thread.
 */
final class OwnSums {
  private static final int MAX_NAMES = 200_000;

  /** The amounts of one name with its expiry time. */
  private static final class OwnSum {
    DecimalAmount added = DecimalAmount.ZERO;
    DecimalAmount withdrawn = DecimalAmount.ZERO;
    long expiryMillis;

    void apply(DecimalAmount amount) throws CommandException {
      if (amount.unscaledValue() >= 0) {
        added = added.plus(amount);
      } else {
        withdrawn = withdrawn.plus(amount.negated());
      }
    }
  }

  private final long origin;
  private final Map<String, OwnSum> sums = new LinkedHashMap<>();

  /**
   * @param origin incarnation number of this gateway
   */
  OwnSums(long origin) {
    this.origin = origin;
  }

  /**
   * Adds an amount to a name; a negative amount is a withdrawal.
   *
   * @throws CommandException when there are too many names or the sum would overflow
   */
  void add(String name, DecimalAmount amount, long timeToLiveMillis, long nowMillis)
      throws CommandException {
    OwnSum sum = sums.get(name);
    if (sum == null || sum.expiryMillis <= nowMillis) {
      requireCapacity(nowMillis);
      sum = new OwnSum();
      sum.expiryMillis = nowMillis + timeToLiveMillis;
      sums.put(name, sum);
    }
    sum.apply(amount);
  }

  private void requireCapacity(long nowMillis) throws CommandException {
    if (sums.size() >= MAX_NAMES) {
      sums.values().removeIf(sum -> sum.expiryMillis <= nowMillis);
      if (sums.size() >= MAX_NAMES) {
        throw new CommandException("OOM too many names");
      }
    }
  }

  /** Withdraws an amount that no node has added. */
  void revert(String name, DecimalAmount amount) {
    try {
      sums.get(name).apply(amount.negated());
    } catch (CommandException e) {
      throw new IllegalStateException("sum overflows", e);
    }
  }

  /** Returns the sum to send, or null if the name has expired. */
  ReplicatedSum current(String name, long nowMillis) {
    OwnSum sum = sums.get(name);
    if (sum == null || sum.expiryMillis <= nowMillis) {
      return null;
    }
    return new ReplicatedSum(name, origin, sum.added, sum.withdrawn, sum.expiryMillis - nowMillis);
  }

  Set<String> names() {
    return sums.keySet();
  }
}
