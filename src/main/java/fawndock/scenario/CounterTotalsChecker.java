package fawndock.scenario;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the totals that a counter recovers after a crash against the adds that its clients sent.
 * For each name, the total must be at least the sum of the acknowledged adds and at most that sum
 * plus the unanswered adds. Thread-safe.
 */
final class CounterTotalsChecker {
  /** The sums of the acknowledged and of the unanswered adds to a name. */
  private static final class NameTotals {
    BigDecimal acknowledged = BigDecimal.ZERO;
    BigDecimal unanswered = BigDecimal.ZERO;
  }

  private final Map<String, NameTotals> totalsByName = new TreeMap<>();
  private long acknowledgedCount;

  /** Records an add that the counter acknowledged. */
  synchronized void recordAcknowledged(String name, BigDecimal amount) {
    NameTotals totals = totalsByName.computeIfAbsent(name, n -> new NameTotals());
    totals.acknowledged = totals.acknowledged.add(amount);
    acknowledgedCount++;
  }

  /** Records an add whose connection broke before a reply arrived. */
  synchronized void recordUnanswered(String name, BigDecimal amount) {
    NameTotals totals = totalsByName.computeIfAbsent(name, n -> new NameTotals());
    totals.unanswered = totals.unanswered.add(amount);
  }

  /** Returns the number of acknowledged adds so far. */
  synchronized long acknowledgedCount() {
    return acknowledgedCount;
  }

  synchronized List<String> names() {
    return List.copyOf(totalsByName.keySet());
  }

  /**
   * Checks the recovered totals, which then become the acknowledged totals for the next check.
   *
   * @param recovered the total of each name that has one
   * @return a line for each name whose total is wrong
   */
  synchronized List<String> check(Map<String, BigDecimal> recovered) {
    List<String> errors = new ArrayList<>();
    Map<String, BigDecimal> unexpectedTotals = new HashMap<>(recovered);
    totalsByName.forEach(
        (name, totals) -> {
          BigDecimal recoveredTotal = unexpectedTotals.remove(name);
          recoveredTotal = recoveredTotal == null ? BigDecimal.ZERO : recoveredTotal;
          BigDecimal maximum = totals.acknowledged.add(totals.unanswered);
          if (recoveredTotal.compareTo(totals.acknowledged) < 0) {
            errors.add(
                "lost: "
                    + name
                    + " has "
                    + recoveredTotal
                    + ", acknowledged were "
                    + totals.acknowledged);
          } else if (recoveredTotal.compareTo(maximum) > 0) {
            errors.add(
                "invented: "
                    + name
                    + " has "
                    + recoveredTotal
                    + ", acknowledged and unanswered were "
                    + maximum);
          }
          totals.acknowledged = recoveredTotal;
          totals.unanswered = BigDecimal.ZERO;
        });
    unexpectedTotals.forEach(
        (name, total) ->
            errors.add("invented: " + name + " has " + total + ", nobody added to it"));
    return errors;
  }
}
