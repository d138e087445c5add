package fawndock.measurement;

import fawndock.conformance.QuotaUsage;
import fawndock.conformance.TraceEvent;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Reads a trace once, and tells what became of its requests: figures of the whole run, and series
 * with a value a second.
 */
public final class TraceMetrics {
  /**
   * What came of a run.
   *
   * @param figures by name; see docs/operations/experiment.md
   * @param series by name, one value for each second
   * @param statuses answers by status; 0 for clients that left, -1 for connections that broke
   */
  public record Metrics(
      Map<String, Double> figures, Map<String, double[]> series, Map<Integer, Long> responsesByStatus) {}

  private static final long LONGEST = 3_600_000_000L;
  private static final int TOO_MANY = 429;
  private static final List<String> COUNTED =
      List.of(
          "asked",
          "served",
          "good",
          "refused beyond plan",
          "refused within plan",
          "failed",
          "left",
          "attempts",
          "repeated attempts");
  private final Map<String, TraceEvent.RequestSent> asked = new HashMap<>();
  private final Set<String> open = new HashSet<>();
  private final Map<String, Integer> arrivals = new HashMap<>();
  private final Map<String, double[]> series = new LinkedHashMap<>();
  private final Map<String, Long> totals = new HashMap<>();
  private final Map<Integer, Long> responsesByStatus = new TreeMap<>();
  private final Map<String, RequestClass> classes;
  private final QuotaUsage use;
  private final int seconds;
  private final Histogram latency = new Histogram(LONGEST, 3);
  private final List<Histogram> bySecond = new ArrayList<>();
  private final long begin;

  private TraceMetrics(
      Map<String, RequestClass> classes, Map<String, Plan> plans, long begin, int seconds) {
    this.classes = classes;
    this.begin = begin;
    this.seconds = seconds;
    use = new QuotaUsage(plans, seconds);
    COUNTED.forEach(name -> series.put(name, new double[seconds]));
    for (int i = 0; i < seconds; i++) {
      bySecond.add(null);
    }
  }

  /**
   * Measures a trace.
   *
   * @param plans of each customer
   * @param groups beginnings of the customers' names, each with its use told by itself
   * @param begin of the run, in the trace's microseconds
   * @param length of the run in seconds; what is asked later does not count
   */
  public static Metrics of(
      List<TraceEvent> trace,
      Map<String, RequestClass> classes,
      Map<String, Plan> plans,
      List<String> groups,
      long begin,
      double length) {
    TraceMetrics m = new TraceMetrics(classes, plans, begin, Math.max(1, (int) Math.ceil(length)));
    List<TraceEvent> inOrder = new ArrayList<>(trace);
    inOrder.sort(Comparator.comparingLong(TraceEvent::atMicros));
    inOrder.forEach(m::take);
    return m.told(groups);
  }

  private void take(TraceEvent seen) {
    long at = seen.atMicros() - begin;
    if (seen instanceof TraceEvent.RequestSent e) {
      if (at < seconds * 1_000_000L && asked.putIfAbsent(e.requestId(), e) == null) {
        add("asked", at);
        open.add(e.requestId());
        use.onRequest(at, e.customer(), e.units());
      }
    } else if (seen instanceof TraceEvent.AttemptArrived e) {
      TraceEvent.RequestSent a = asked.get(e.requestId());
      if (a != null) {
        add("attempts", at);
        if (arrivals.merge(e.requestId(), 1, Integer::sum) == 1) {
          use.onForwarded(at, a.customer(), a.units());
        } else {
          add("repeated attempts", at);
        }
      }
    } else if (seen instanceof TraceEvent.ResponseReceived e) {
      answered(e, at);
    } else if (seen instanceof TraceEvent.ClientDisconnected e) {
      ended(e.requestId(), 0, "left", at);
    } else if (seen instanceof TraceEvent.ConnectionLost e) {
      ended(e.requestId(), -1, "left", at);
    }
  }

  private void answered(TraceEvent.ResponseReceived e, long at) {
    TraceEvent.RequestSent a = asked.get(e.requestId());
    if (a == null) {
      return;
    }
    boolean ok = e.status() >= 200 && e.status() < 300;
    String what =
        ok
            ? "served"
            : e.status() != TOO_MANY
                ? "failed"
                : use.isBelowPlanRate(at, a.customer())
                    ? "refused within plan"
                    : "refused beyond plan";
    if (ended(e.requestId(), e.status(), what, at) && ok) {
      long took = Math.min(LONGEST, Math.max(0, e.atMicros() - a.atMicros()));
      latency.recordValue(took);
      if (at < seconds * 1_000_000L) {
        Histogram second = bySecond.get((int) (at / 1_000_000));
        if (second == null) {
          second = new Histogram(LONGEST, 2);
          bySecond.set((int) (at / 1_000_000), second);
        }
        second.recordValue(took);
      }
      RequestClass type = classes.get(a.requestClass());
      if (type == null || took <= type.latencyObjectiveMicros()) {
        add("good", at);
      }
    }
  }

  /** Notes a request's end, once; returns whether it was its first. */
  private boolean ended(String request, int status, String what, long at) {
    if (!open.remove(request)) {
      return false;
    }
    responsesByStatus.merge(status, 1L, Long::sum);
    add(what, at);
    return true;
  }

  /** Counts for the whole run, and for its second when the run has not ended by then. */
  private void add(String name, long at) {
    totals.merge(name, 1L, Long::sum);
    if (at >= 0 && at < seconds * 1_000_000L) {
      series.get(name)[(int) (at / 1_000_000)]++;
    }
  }

  private Metrics told(List<String> groups) {
    Map<String, Double> figures = new LinkedHashMap<>();
    double all = Math.max(1, asked.size());
    figures.put("requests", (double) asked.size());
    for (String name : COUNTED.subList(1, COUNTED.size())) {
      figures.put(name.replace(' ', '-') + "-a-try", totals.getOrDefault(name, 0L) / all);
    }
    figures.put("p50-ms", latency.getValueAtPercentile(50) / 1e3);
    figures.put("p99-ms", latency.getValueAtPercentile(99) / 1e3);
    QuotaUsage.Summary whole = use.summarize("");
    figures.put("use", whole.peakPlanRatio());
    figures.put("use-worst-customer", whole.peakCustomerPlanRatio());
    figures.put("kept", whole.entitledUseRatio());
    figures.put("beyond", whole.excessRatio());
    for (String group : groups) {
      figures.put("use." + group, use.summarize(group + "-").peakPlanRatio());
      figures.put("kept." + group, use.summarize(group + "-").entitledUseRatio());
      figures.put("plan." + group, use.planUnitsPerSecond(group + "-"));
      series.put("used " + group, use.usedUnitsBySecond(group + "-"));
    }
    series.put("p50 ms", percentile(50));
    series.put("p99 ms", percentile(99));
    return new Metrics(figures, series, responsesByStatus);
  }

  private double[] percentile(double which) {
    double[] all = new double[seconds];
    for (int i = 0; i < seconds; i++) {
      all[i] = bySecond.get(i) == null ? 0 : bySecond.get(i).getValueAtPercentile(which) / 1e3;
    }
    return all;
  }
}
