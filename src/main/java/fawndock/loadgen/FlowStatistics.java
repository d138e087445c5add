package fawndock.loadgen;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What became of one flow's requests. On one thread. */
public final class FlowStatistics {
  /** Longest latency that is told apart, in microseconds: an hour. */
  private static final long LONGEST = 3_600_000_000L;

  private static final int DIGITS = 3;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  /** From the intended start to the answer, or to where the client left; of all that began. */
  final Histogram latency = new Histogram(LONGEST, DIGITS);

  /** The same in the interval that runs. */
  final Histogram interval = new Histogram(LONGEST, DIGITS);

  /**
   * From where the request was sent: what a client that waits for its turn would call the latency.
   */
  final Histogram service = new Histogram(LONGEST, DIGITS);

  private final Map<Integer, Long> statuses = new TreeMap<>();
  long due;
  long late;
  long unsent;
  long left;
  long failed;
  long retries;
  private long good;

  void answered(int status, long micros, long sentMicros) {
    statuses.merge(status, 1L, Long::sum);
    good += status >= 200 && status < 300 ? 1 : 0;
    record(micros);
    service.recordValue(bound(sentMicros));
  }

  /** The client left without an answer. */
  void left(long micros) {
    left++;
    record(micros);
  }

  /** The connection could not be made, or broke. */
  void failed(long micros) {
    failed++;
    record(micros);
  }

  private void record(long micros) {
    latency.recordValue(bound(micros));
    interval.recordValue(bound(micros));
  }

  private static long bound(long micros) {
    return Math.max(0, Math.min(LONGEST, micros));
  }

  /** Answers of 200 to 299. */
  public long good() {
    return good;
  }

  /** Answers with a status. */
  public long status(int status) {
    return statuses.getOrDefault(status, 0L);
  }

  /**
   * Whether so much left late, or was not sent, that the latencies are not those of the intended
   * load.
   */
  public boolean unusable() {
    return unsent > 0 || late > 0.01 * due;
  }

  /** All of it, times in microseconds, for JSON. */
  public Map<String, Object> told() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("due", due);
    all.put("sent_late", late);
    all.put("not_sent", unsent);
    all.put("retries", retries);
    all.put("client_left", left);
    all.put("no_answer", failed);
    all.put("statuses", statuses);
    all.put("latency_us", percentiles(latency));
    all.put("from_sending_us", percentiles(service));
    return all;
  }

  private static Map<String, Object> percentiles(Histogram of) {
    Map<String, Object> all = new LinkedHashMap<>();
    for (double each : PERCENTILES) {
      all.put(
          each == 100 ? "max" : "p" + (each == 99.9 ? "999" : Integer.toString((int) each)),
          of.getValueAtPercentile(each));
    }
    all.put("mean", Math.round(of.getMean()));
    return all;
  }
}
