package fawndock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The judge of a counter, on what a bad one would recover. */
class TotalsTest {
  private final Totals totals = new Totals();

  @BeforeEach
  void adds() {
    totals.acknowledged("a", new BigDecimal("5"));
    totals.acknowledged("a", new BigDecimal("0.5"));
    totals.unanswered("a", new BigDecimal("2"));
  }

  private List<String> judge(String total) {
    return totals.judge(Map.of("a", new BigDecimal(total)));
  }

  @Test
  void whatIsBetweenIsRight() {
    assertEquals(List.of(), judge("7.50"));
    assertEquals(List.of(), judge("7.5")); // From there on only that is right.
    assertEquals(1, judge("5.5").size());
  }

  @Test
  void aLostAddIsTold() {
    assertEquals(List.of("lost: a has 5.499999999, acknowledged were 5.5"), judge("5.499999999"));
    totals.acknowledged("a", BigDecimal.ONE);
    assertEquals(1, totals.judge(Map.of()).size());
  }

  @Test
  void anInventedTotalIsTold() {
    assertEquals(
        List.of("invented: a has 7.6, acknowledged and unanswered were 7.5"), judge("7.6"));
    assertEquals(
        List.of("invented: b has 1, nobody added to it"),
        totals.judge(Map.of("a", new BigDecimal("7.6"), "b", BigDecimal.ONE)));
  }
}
