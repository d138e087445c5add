package fawndock.counter.replication;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What this gateway itself has added to each name and withdrawn from it. Both amounts only grow
 * until the name expires. Used from one thread.
 */
final class OwnSums {
  private static final int MAX_NAMES = 200_000;

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
   * @param origin incarnation of this gateway
   */
  OwnSums(long origin) {
    this.origin = origin;
  }

  /**
   * Adds to a name, or withdraws with a negative amount.
   *
   * @throws CommandException when there are too many names, or the sum would overflow
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
      sums.values().removeIf(each -> each.expiryMillis <= nowMillis);
      if (sums.size() >= MAX_NAMES) {
        throw new CommandException("OOM too many names");
      }
    }
  }

  /** Withdraws an amount that was not added anywhere. */
  void revert(String name, DecimalAmount amount) {
    try {
      sums.get(name).apply(amount.negated());
    } catch (CommandException e) {
      throw new IllegalStateException("a sum beyond all bounds", e);
    }
  }

  /** The sum to send, or null when it has expired. */
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
