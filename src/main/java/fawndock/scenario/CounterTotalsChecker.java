package fawndock.scenario;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The judge of a counter: what crossed the sockets of all that added to it, name by name. A
 * recovered total is at least what was acknowledged and at most that and what was unanswered.
 */
final class CounterTotalsChecker {
  private static final class NameTotals {
    BigDecimal acknowledged = BigDecimal.ZERO;
    BigDecimal unanswered = BigDecimal.ZERO;
  }

  private final Map<String, NameTotals> totalsByName = new TreeMap<>();
  private long acknowledgedCount;

  /** An add was answered with a total. */
  synchronized void recordAcknowledged(String name, BigDecimal amount) {
    NameTotals sums = totalsByName.computeIfAbsent(name, n -> new NameTotals());
    sums.acknowledged = sums.acknowledged.add(amount);
    acknowledgedCount++;
  }

  /** An add was sent and its connection broke before an answer. */
  synchronized void recordUnanswered(String name, BigDecimal amount) {
    NameTotals sums = totalsByName.computeIfAbsent(name, n -> new NameTotals());
    sums.unanswered = sums.unanswered.add(amount);
  }

  /** Acknowledged adds so far. */
  synchronized long acknowledgedCount() {
    return acknowledgedCount;
  }

  synchronized List<String> names() {
    return List.copyOf(totalsByName.keySet());
  }

  /**
   * Compares with what was recovered, which is what the next comparison begins from.
   *
   * @param recovered the total of every name that has one
   * @return a line for each name that is wrong
   */
  synchronized List<String> check(Map<String, BigDecimal> recovered) {
    List<String> wrong = new ArrayList<>();
    Map<String, BigDecimal> left = new HashMap<>(recovered);
    totalsByName.forEach(
        (name, sums) -> {
          BigDecimal found = left.remove(name);
          found = found == null ? BigDecimal.ZERO : found;
          BigDecimal most = sums.acknowledged.add(sums.unanswered);
          if (found.compareTo(sums.acknowledged) < 0) {
            wrong.add(
                "lost: " + name + " has " + found + ", acknowledged were " + sums.acknowledged);
          } else if (found.compareTo(most) > 0) {
            wrong.add(
                "invented: "
                    + name
                    + " has "
                    + found
                    + ", acknowledged and unanswered were "
                    + most);
          }
          sums.acknowledged = found;
          sums.unanswered = BigDecimal.ZERO;
        });
    left.forEach(
        (name, found) -> wrong.add("invented: " + name + " has " + found + ", nobody added to it"));
    return wrong;
  }
}
