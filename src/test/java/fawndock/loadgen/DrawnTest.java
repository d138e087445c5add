package fawndock.loadgen;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is drawn or read ahead of a run: arrivals, customers, manners, traces. */
class DrawnTest {
  private static List<Long> arrivals(double rate, RateShape shape, boolean even, double end) {
    ArrivalProcess arrivals = new ArrivalProcess(rate, shape, even, end, new SplittableRandom(7));
    List<Long> all = new ArrayList<>();
    for (long at = arrivals.nextMicros(); at >= 0; at = arrivals.nextMicros()) {
      all.add(at);
    }
    return all;
  }

  private static long between(List<Long> all, double from, double to) {
    return all.stream().filter(at -> at >= from * 1e6 && at < to * 1e6).count();
  }

  @Test
  void evenArrivalsFollowTheShape() {
    assertEquals(
        List.of(250_000L, 500_000L, 750_000L),
        arrivals(4, new RateShape.Constant(), true, 1).stream()
            .map(at -> Math.round(at / 10.0) * 10)
            .toList());
    List<Long> jump = arrivals(100, new RateShape.TemporaryStep(1, 2, 5), true, 3);
    assertEquals(100.0, (double) between(jump, 0, 1), 1);
    assertEquals(500.0, (double) between(jump, 1, 2), 1);
    assertEquals(100.0, (double) between(jump, 2, 3), 1);
    List<Long> bursts = arrivals(1_000, new RateShape.OnOff(0.2, 0.8), true, 3);
    assertEquals(600, bursts.size(), 3);
    assertEquals(0, between(bursts, 0.201, 1) + between(bursts, 1.201, 2));
    List<Long> wave = arrivals(100, new RateShape.SineWave(4, 1), true, 4);
    assertEquals(400, wave.size(), 2);
    assertEquals(200 * (1 + 2 / Math.PI), (double) between(wave, 0, 2), 3);
  }

  @Test
  void poissonArrivalsHaveTheirMeanAndSpread() {
    List<Long> all = arrivals(1_000, new RateShape.Constant(), false, 100);
    assertEquals(100_000, all.size(), 1_000, "three deviations");
    double squares = 0;
    for (int second = 0; second < 100; second++) {
      squares += Math.pow((double) between(all, second, second + 1) - 1_000, 2);
    }
    assertTrue(squares / 100 > 500 && squares / 100 < 2_000, "variance " + squares / 100);
    assertEquals(all, arrivals(1_000, new RateShape.Constant(), false, 100), "by its seed");
  }

  @Test
  void aHundredThousandCustomersAreAsSkewedAsTold() {
    CustomerSelector customers = new CustomerSelector(100_000, 1);
    SplittableRandom random = new SplittableRandom(3);
    int[] asked = new int[100_000];
    for (int i = 0; i < 1_000_000; i++) {
      asked[customers.draw(random)]++;
    }
    assertEquals(2, asked[0] / (double) asked[1], 0.1);
    assertEquals(10, asked[0] / (double) asked[9], 0.7);
    assertTrue(asked[99_999] < 20);
    CustomerSelector alike = new CustomerSelector(4, 0);
    int[] even = new int[4];
    for (int i = 0; i < 40_000; i++) {
      even[alike.draw(random)]++;
    }
    for (int each : even) {
      assertEquals(10_000, each, 500);
    }
  }

  @Test
  void clientsBehaveAsDescribed() {
    ClientBehavior polite = new ClientBehavior(1, ClientBehavior.Retry.AFTER, 5, 3, true);
    assertEquals(2_000_000, polite.retryDelayMicros(429, 2, 1));
    assertEquals(5, polite.retryDelayMicros(0, 0, 2));
    assertEquals(-1, polite.retryDelayMicros(503, 0, 3), "its tries are used up");
    assertEquals(-1, polite.retryDelayMicros(200, 0, 1));
    assertEquals(-1, polite.retryDelayMicros(404, 0, 1));
    assertEquals(
        0,
        new ClientBehavior(1, ClientBehavior.Retry.AT_ONCE, 5, 3, false)
            .retryDelayMicros(429, 60, 1));
    assertEquals(
        -1,
        new ClientBehavior(1, ClientBehavior.Retry.NONE, 5, 3, true).retryDelayMicros(429, 60, 1));
  }

  private static RequestTrace.Read read(String text) throws IOException {
    return RequestTrace.read(new BufferedReader(new StringReader(text)), "t");
  }

  @Test
  void aTraceKeepsItsBurstsAndIsPutInOrder() throws IOException {
    RequestTrace.Read read =
        read("at,path\n100.0004,/b\n100.0001,/a1\n100.0001,/a2\n100.0009,/c\n");
    assertEquals(
        List.of("/a1", "/a2", "/b", "/c"),
        read.entries().stream().map(RequestTrace.Entry::path).toList());
    assertEquals(
        List.of(0L, 0L, 300L, 800L),
        read.entries().stream().map(RequestTrace.Entry::atMicros).toList());
    assertEquals(2, read.moved());
  }

  @Test
  void aGatekeepersLogIsATrace() throws IOException {
    RequestTrace.Read read =
        read(
            """
                {"@timestamp":"2026-03-01T10:00:00.5Z","message":"listens"}
                {"@timestamp":"2026-03-01T10:00:01.000Z","customer":"one","took_us":250000}
                {"@timestamp":"2026-03-01T10:00:00.900Z","customer":"two","took_us":100}
                """);
    assertEquals(
        List.of("one", "two"), read.entries().stream().map(RequestTrace.Entry::key).toList());
    assertEquals(149_900, read.entries().get(1).atMicros());
    assertEquals(1, read.skipped());
  }

  @Test
  void badTracesAreRefusedWithTheirLine() {
    assertTrue(
        assertThrows(IOException.class, () -> read("at,path\n1,/a\nsoon,/b\n"))
            .getMessage()
            .startsWith("t:3: time 'soon', expected"));
    assertTrue(
        assertThrows(IOException.class, () -> read("time\n1\n"))
            .getMessage()
            .contains("no column 'at'"));
    assertTrue(
        assertThrows(IOException.class, () -> read("at,path\n1,/a,/b,/c\n"))
            .getMessage()
            .startsWith("t:2"));
    assertTrue(
        assertThrows(IOException.class, () -> read("{\"@timestamp\":1"))
            .getMessage()
            .startsWith("t:1"));
    assertTrue(
        assertThrows(IOException.class, () -> read("at\n")).getMessage().contains("no requests"));
  }
}
