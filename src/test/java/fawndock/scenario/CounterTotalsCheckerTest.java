package fawndock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the checker with totals that a faulty counter would recover. */
class CounterTotalsCheckerTest {
  private final CounterTotalsChecker checker = new CounterTotalsChecker();

  @BeforeEach
  void recordAdds() {
    checker.recordAcknowledged("a", new BigDecimal("5"));
    checker.recordAcknowledged("a", new BigDecimal("0.5"));
    checker.recordUnanswered("a", new BigDecimal("2"));
  }

  private List<String> check(String total) {
    return checker.check(Map.of("a", new BigDecimal(total)));
  }

  @Test
  void check_totalBetweenAcknowledgedAndSent_isCorrect() {
    assertEquals(List.of(), check("7.50"));
    assertEquals(List.of(), check("7.5")); // The recovered total is now the only correct one.
    assertEquals(1, check("5.5").size());
  }

  @Test
  void check_totalBelowAcknowledged_reportsLostAdd() {
    assertEquals(List.of("lost: a has 5.499999999, acknowledged were 5.5"), check("5.499999999"));
    checker.recordAcknowledged("a", BigDecimal.ONE);
    assertEquals(1, checker.check(Map.of()).size());
  }

  @Test
  void check_totalAboveSent_reportsInventedTotal() {
    assertEquals(
        List.of("invented: a has 7.6, acknowledged and unanswered were 7.5"), check("7.6"));
    assertEquals(
        List.of("invented: b has 1, nobody added to it"),
        checker.check(Map.of("a", new BigDecimal("7.6"), "b", BigDecimal.ONE)));
  }
}
