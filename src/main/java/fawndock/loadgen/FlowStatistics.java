package fawndock.loadgen;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Outcomes and latencies of the requests of one flow. Not thread-safe. */
public final class FlowStatistics {
  /** Upper limit of recorded latencies: one hour. */
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  /** Time from the intended start to the response, failure or abandonment of each sent attempt. */
  final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

  /** The same latencies, of the current interval only. */
  final Histogram intervalLatency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

  /**
   * Time from sending the request to its response: the latency that a closed-loop client would
   * measure.
   */
  final Histogram serviceTime = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

  private final Map<Integer, Long> statuses = new TreeMap<>();
  long due;
  long sentLate;
  long notSent;
  long abandoned;
  long failed;
  long retries;
  private long good;

  void recordResponse(int status, long latencyMicros, long serviceMicros) {
    statuses.merge(status, 1L, Long::sum);
    good += status >= 200 && status < 300 ? 1 : 0;
    record(latencyMicros);
    serviceTime.recordValue(clamp(serviceMicros));
  }

  /** Records that the client abandoned the attempt without a response. */
  void recordAbandoned(long latencyMicros) {
    abandoned++;
    record(latencyMicros);
  }

  /** Records that the connection could not be established, or broke. */
  void recordFailure(long latencyMicros) {
    failed++;
    record(latencyMicros);
  }

  private void record(long latencyMicros) {
    latency.recordValue(clamp(latencyMicros));
    intervalLatency.recordValue(clamp(latencyMicros));
  }

  private static long clamp(long latencyMicros) {
    return Math.max(0, Math.min(MAX_LATENCY_MICROS, latencyMicros));
  }

  /** Returns the number of responses with status 200 to 299. */
  public long good() {
    return good;
  }

  /** Returns the number of responses with a status. */
  public long status(int status) {
    return statuses.getOrDefault(status, 0L);
  }

  /**
   * Returns whether a request was not sent, or more than 1 % were sent late, so that the latencies
   * are not those of the intended load.
   */
  public boolean isUnusable() {
    return notSent > 0 || sentLate > 0.01 * due;
  }

  /** Returns all figures for JSON, with times in microseconds. */
  public Map<String, Object> toMap() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("due", due);
    figures.put("sent_late", sentLate);
    figures.put("not_sent", notSent);
    figures.put("retries", retries);
    figures.put("client_left", abandoned);
    figures.put("no_answer", failed);
    figures.put("statuses", statuses);
    figures.put("latency_us", percentiles(latency));
    figures.put("from_sending_us", percentiles(serviceTime));
    return figures;
  }

  private static Map<String, Object> percentiles(Histogram histogram) {
    Map<String, Object> figures = new LinkedHashMap<>();
    for (double percentile : PERCENTILES) {
      figures.put(
          percentile == 100
              ? "max"
              : "p" + (percentile == 99.9 ? "999" : Integer.toString((int) percentile)),
          histogram.getValueAtPercentile(percentile));
    }
    figures.put("mean", Math.round(histogram.getMean()));
    return figures;
  }
}
