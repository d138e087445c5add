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
final class Totals {
  private static final class Sums {
    BigDecimal acknowledged = BigDecimal.ZERO;
    BigDecimal unanswered = BigDecimal.ZERO;
  }

  private final Map<String, Sums> names = new TreeMap<>();
  private long acknowledged;

  /** An add was answered with a total. */
  synchronized void acknowledged(String name, BigDecimal amount) {
    Sums sums = names.computeIfAbsent(name, n -> new Sums());
    sums.acknowledged = sums.acknowledged.add(amount);
    acknowledged++;
  }

  /** An add was sent and its connection broke before an answer. */
  synchronized void unanswered(String name, BigDecimal amount) {
    Sums sums = names.computeIfAbsent(name, n -> new Sums());
    sums.unanswered = sums.unanswered.add(amount);
  }

  /** Acknowledged adds so far. */
  synchronized long adds() {
    return acknowledged;
  }

  synchronized List<String> names() {
    return List.copyOf(names.keySet());
  }

  /**
   * Compares with what was recovered, which is what the next comparison begins from.
   *
   * @param recovered the total of every name that has one
   * @return a line for each name that is wrong
   */
  synchronized List<String> judge(Map<String, BigDecimal> recovered) {
    List<String> wrong = new ArrayList<>();
    Map<String, BigDecimal> left = new HashMap<>(recovered);
    names.forEach(
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
