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

/**
 * Tests the parts of the load that are computed without I/O: arrivals, customers, retries, traces.
 */
class DrawnTest {
  private static List<Long> arrivalTimes(
      double requestsPerSecond, RateShape shape, boolean isEven, double endSeconds) {
    ArrivalProcess arrivals =
        new ArrivalProcess(requestsPerSecond, shape, isEven, endSeconds, new SplittableRandom(7));
    List<Long> all = new ArrayList<>();
    for (long at = arrivals.nextMicros(); at >= 0; at = arrivals.nextMicros()) {
      all.add(at);
    }
    return all;
  }

  private static long countBetween(List<Long> all, double fromSeconds, double toSeconds) {
    return all.stream().filter(at -> at >= fromSeconds * 1e6 && at < toSeconds * 1e6).count();
  }

  @Test
  void evenArrivals_followTheRateShape() {
    assertEquals(
        List.of(250_000L, 500_000L, 750_000L),
        arrivalTimes(4, new RateShape.Constant(), true, 1).stream()
            .map(at -> Math.round(at / 10.0) * 10)
            .toList());
    List<Long> step = arrivalTimes(100, new RateShape.TemporaryStep(1, 2, 5), true, 3);
    assertEquals(100.0, (double) countBetween(step, 0, 1), 1);
    assertEquals(500.0, (double) countBetween(step, 1, 2), 1);
    assertEquals(100.0, (double) countBetween(step, 2, 3), 1);
    List<Long> bursts = arrivalTimes(1_000, new RateShape.OnOff(0.2, 0.8), true, 3);
    assertEquals(600, bursts.size(), 3);
    assertEquals(0, countBetween(bursts, 0.201, 1) + countBetween(bursts, 1.201, 2));
    List<Long> wave = arrivalTimes(100, new RateShape.SineWave(4, 1), true, 4);
    assertEquals(400, wave.size(), 2);
    assertEquals(200 * (1 + 2 / Math.PI), (double) countBetween(wave, 0, 2), 3);
  }

  @Test
  void poissonArrivals_haveTheExpectedMeanAndVariance() {
    List<Long> all = arrivalTimes(1_000, new RateShape.Constant(), false, 100);
    assertEquals(100_000, all.size(), 1_000, "within three standard deviations of the mean");
    double squaredDeviations = 0;
    for (int second = 0; second < 100; second++) {
      squaredDeviations += Math.pow((double) countBetween(all, second, second + 1) - 1_000, 2);
    }
    assertTrue(
        squaredDeviations / 100 > 500 && squaredDeviations / 100 < 2_000,
        "variance " + squaredDeviations / 100);
    assertEquals(
        all,
        arrivalTimes(1_000, new RateShape.Constant(), false, 100),
        "the same seed gives the same arrivals");
  }

  @Test
  void customers_areDrawnWithTheConfiguredSkew() {
    CustomerSelector customers = new CustomerSelector(100_000, 1);
    SplittableRandom random = new SplittableRandom(3);
    int[] requestCounts = new int[100_000];
    for (int i = 0; i < 1_000_000; i++) {
      requestCounts[customers.draw(random)]++;
    }
    assertEquals(2, requestCounts[0] / (double) requestCounts[1], 0.1);
    assertEquals(10, requestCounts[0] / (double) requestCounts[9], 0.7);
    assertTrue(requestCounts[99_999] < 20);
    CustomerSelector evenCustomers = new CustomerSelector(4, 0);
    int[] evenCounts = new int[4];
    for (int i = 0; i < 40_000; i++) {
      evenCounts[evenCustomers.draw(random)]++;
    }
    for (int count : evenCounts) {
      assertEquals(10_000, count, 500);
    }
  }

  @Test
  void retryDelay_followsTheConfiguredBehavior() {
    ClientBehavior patientClient = new ClientBehavior(1, ClientBehavior.Retry.AFTER, 5, 3, true);
    assertEquals(2_000_000, patientClient.retryDelayMicros(429, 2, 1));
    assertEquals(5, patientClient.retryDelayMicros(0, 0, 2));
    assertEquals(-1, patientClient.retryDelayMicros(503, 0, 3), "all attempts are used");
    assertEquals(-1, patientClient.retryDelayMicros(200, 0, 1));
    assertEquals(-1, patientClient.retryDelayMicros(404, 0, 1));
    assertEquals(
        0,
        new ClientBehavior(1, ClientBehavior.Retry.AT_ONCE, 5, 3, false)
            .retryDelayMicros(429, 60, 1));
    assertEquals(
        -1,
        new ClientBehavior(1, ClientBehavior.Retry.NONE, 5, 3, true).retryDelayMicros(429, 60, 1));
  }

  private static RequestTrace.ParsedTrace readTrace(String text) throws IOException {
    return RequestTrace.read(new BufferedReader(new StringReader(text)), "t");
  }

  @Test
  void trace_keepsBurstsAndIsSortedByTime() throws IOException {
    RequestTrace.ParsedTrace trace =
        readTrace("at,path\n100.0004,/b\n100.0001,/a1\n100.0001,/a2\n100.0009,/c\n");
    assertEquals(
        List.of("/a1", "/a2", "/b", "/c"),
        trace.entries().stream().map(RequestTrace.Entry::path).toList());
    assertEquals(
        List.of(0L, 0L, 300L, 800L),
        trace.entries().stream().map(RequestTrace.Entry::atMicros).toList());
    assertEquals(2, trace.outOfOrderCount());
  }

  @Test
  void gatewayLog_isReadAsATrace() throws IOException {
    RequestTrace.ParsedTrace trace =
        readTrace(
            """
                {"@timestamp":"2026-03-01T10:00:00.5Z","message":"listens"}
                {"@timestamp":"2026-03-01T10:00:01.000Z","customer":"one","took_us":250000}
                {"@timestamp":"2026-03-01T10:00:00.900Z","customer":"two","took_us":100}
                """);
    assertEquals(
        List.of("one", "two"), trace.entries().stream().map(RequestTrace.Entry::key).toList());
    assertEquals(149_900, trace.entries().get(1).atMicros());
    assertEquals(1, trace.skippedLineCount());
  }

  @Test
  void invalidTraces_areRejectedWithTheLineNumber() {
    assertTrue(
        assertThrows(IOException.class, () -> readTrace("at,path\n1,/a\nsoon,/b\n"))
            .getMessage()
            .startsWith("t:3: time 'soon', expected"));
    assertTrue(
        assertThrows(IOException.class, () -> readTrace("time\n1\n"))
            .getMessage()
            .contains("no column 'at'"));
    assertTrue(
        assertThrows(IOException.class, () -> readTrace("at,path\n1,/a,/b,/c\n"))
            .getMessage()
            .startsWith("t:2"));
    assertTrue(
        assertThrows(IOException.class, () -> readTrace("{\"@timestamp\":1"))
            .getMessage()
            .startsWith("t:1"));
    assertTrue(
        assertThrows(IOException.class, () -> readTrace("at\n"))
            .getMessage()
            .contains("no requests"));
  }
}
