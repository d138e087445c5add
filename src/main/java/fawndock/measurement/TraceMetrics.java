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
 * Computes metrics from a trace: figures of the whole run, and series with a value for each second.
 * An object reads one trace, on a single thread.
 */
public final class TraceMetrics {
  /**
   * The metrics of a run.
   *
   * @param figures by name; see docs/operations/experiment.md
   * @param series by name, one value for each second
   * @param responsesByStatus 0 stands for clients that disconnected, -1 for connections that broke
   */
  public record Metrics(
      Map<String, Double> figures,
      Map<String, double[]> series,
      Map<Integer, Long> responsesByStatus) {}

  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final List<String> COUNTED_SERIES =
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
  private final Map<String, TraceEvent.RequestSent> sentRequests = new HashMap<>();
  private final Set<String> openRequests = new HashSet<>();
  private final Map<String, Integer> attemptCounts = new HashMap<>();
  private final Map<String, double[]> series = new LinkedHashMap<>();
  private final Map<String, Long> totalByName = new HashMap<>();
  private final Map<Integer, Long> responsesByStatus = new TreeMap<>();
  private final Map<String, RequestClass> requestClasses;
  private final QuotaUsage quotaUsage;
  private final int durationSeconds;
  private final Histogram latencyHistogram = new Histogram(MAX_LATENCY_MICROS, 3);
  private final List<Histogram> latencyBySecond = new ArrayList<>();
  private final long startMicros;

  private TraceMetrics(
      Map<String, RequestClass> requestClasses,
      Map<String, Plan> plans,
      long startMicros,
      int durationSeconds) {
    this.requestClasses = requestClasses;
    this.startMicros = startMicros;
    this.durationSeconds = durationSeconds;
    quotaUsage = new QuotaUsage(plans, durationSeconds);
    COUNTED_SERIES.forEach(name -> series.put(name, new double[durationSeconds]));
    for (int i = 0; i < durationSeconds; i++) {
      latencyBySecond.add(null);
    }
  }

  /**
   * Computes the metrics of a trace.
   *
   * @param plans by customer
   * @param customerGroups prefixes of customers' names; each group has its own quota figures
   * @param startMicros start of the run on the trace's clock
   * @param durationSeconds length of the run; requests sent later are ignored
   */
  public static Metrics of(
      List<TraceEvent> trace,
      Map<String, RequestClass> requestClasses,
      Map<String, Plan> plans,
      List<String> customerGroups,
      long startMicros,
      double durationSeconds) {
    TraceMetrics metrics =
        new TraceMetrics(
            requestClasses, plans, startMicros, Math.max(1, (int) Math.ceil(durationSeconds)));
    List<TraceEvent> orderedEvents = new ArrayList<>(trace);
    orderedEvents.sort(Comparator.comparingLong(TraceEvent::atMicros));
    orderedEvents.forEach(metrics::onEvent);
    return metrics.toMetrics(customerGroups);
  }

  private void onEvent(TraceEvent event) {
    long relativeMicros = event.atMicros() - startMicros;
    if (event instanceof TraceEvent.RequestSent sent) {
      if (relativeMicros < durationSeconds * 1_000_000L
          && sentRequests.putIfAbsent(sent.requestId(), sent) == null) {
        count("asked", relativeMicros);
        openRequests.add(sent.requestId());
        quotaUsage.onRequest(relativeMicros, sent.customer(), sent.units());
      }
    } else if (event instanceof TraceEvent.AttemptArrived attempt) {
      TraceEvent.RequestSent sentRequest = sentRequests.get(attempt.requestId());
      if (sentRequest != null) {
        count("attempts", relativeMicros);
        if (attemptCounts.merge(attempt.requestId(), 1, Integer::sum) == 1) {
          quotaUsage.onForwarded(relativeMicros, sentRequest.customer(), sentRequest.units());
        } else {
          count("repeated attempts", relativeMicros);
        }
      }
    } else if (event instanceof TraceEvent.ResponseReceived response) {
      onResponse(response, relativeMicros);
    } else if (event instanceof TraceEvent.ClientDisconnected disconnect) {
      completeRequest(disconnect.requestId(), 0, "left", relativeMicros);
    } else if (event instanceof TraceEvent.ConnectionLost loss) {
      completeRequest(loss.requestId(), -1, "left", relativeMicros);
    }
  }

  private void onResponse(TraceEvent.ResponseReceived response, long relativeMicros) {
    TraceEvent.RequestSent sentRequest = sentRequests.get(response.requestId());
    if (sentRequest == null) {
      return;
    }
    boolean isSuccess = response.status() >= 200 && response.status() < 300;
    String outcome =
        isSuccess
            ? "served"
            : response.status() != TOO_MANY_REQUESTS
                ? "failed"
                : quotaUsage.isBelowPlanRate(relativeMicros, sentRequest.customer())
                    ? "refused within plan"
                    : "refused beyond plan";
    if (completeRequest(response.requestId(), response.status(), outcome, relativeMicros)
        && isSuccess) {
      long latencyMicros =
          Math.min(MAX_LATENCY_MICROS, Math.max(0, response.atMicros() - sentRequest.atMicros()));
      latencyHistogram.recordValue(latencyMicros);
      if (relativeMicros < durationSeconds * 1_000_000L) {
        Histogram secondHistogram = latencyBySecond.get((int) (relativeMicros / 1_000_000));
        if (secondHistogram == null) {
          secondHistogram = new Histogram(MAX_LATENCY_MICROS, 2);
          latencyBySecond.set((int) (relativeMicros / 1_000_000), secondHistogram);
        }
        secondHistogram.recordValue(latencyMicros);
      }
      RequestClass requestClass = requestClasses.get(sentRequest.requestClass());
      if (requestClass == null || latencyMicros <= requestClass.latencyObjectiveMicros()) {
        count("good", relativeMicros);
      }
    }
  }

  /** Completes a request unless it is already complete; returns whether it was open. */
  private boolean completeRequest(
      String requestId, int status, String outcome, long relativeMicros) {
    if (!openRequests.remove(requestId)) {
      return false;
    }
    responsesByStatus.merge(status, 1L, Long::sum);
    count(outcome, relativeMicros);
    return true;
  }

  /** Counts an event in the total, and in its second when that is within the run. */
  private void count(String name, long relativeMicros) {
    totalByName.merge(name, 1L, Long::sum);
    if (relativeMicros >= 0 && relativeMicros < durationSeconds * 1_000_000L) {
      series.get(name)[(int) (relativeMicros / 1_000_000)]++;
    }
  }

  private Metrics toMetrics(List<String> customerGroups) {
    Map<String, Double> figures = new LinkedHashMap<>();
    double requestCount = Math.max(1, sentRequests.size());
    figures.put("requests", (double) sentRequests.size());
    for (String name : COUNTED_SERIES.subList(1, COUNTED_SERIES.size())) {
      figures.put(
          name.replace(' ', '-') + "-a-try", totalByName.getOrDefault(name, 0L) / requestCount);
    }
    figures.put("p50-ms", latencyHistogram.getValueAtPercentile(50) / 1e3);
    figures.put("p99-ms", latencyHistogram.getValueAtPercentile(99) / 1e3);
    QuotaUsage.Summary overall = quotaUsage.summarize("");
    figures.put("use", overall.peakPlanRatio());
    figures.put("use-worst-customer", overall.peakCustomerPlanRatio());
    figures.put("kept", overall.entitledUseRatio());
    figures.put("beyond", overall.excessRatio());
    for (String customerGroup : customerGroups) {
      figures.put(
          "use." + customerGroup, quotaUsage.summarize(customerGroup + "-").peakPlanRatio());
      figures.put(
          "kept." + customerGroup, quotaUsage.summarize(customerGroup + "-").entitledUseRatio());
      figures.put("plan." + customerGroup, quotaUsage.planUnitsPerSecond(customerGroup + "-"));
      series.put("used " + customerGroup, quotaUsage.usedUnitsBySecond(customerGroup + "-"));
    }
    series.put("p50 ms", percentileBySecond(50));
    series.put("p99 ms", percentileBySecond(99));
    return new Metrics(figures, series, responsesByStatus);
  }

  private double[] percentileBySecond(double percentile) {
    double[] millisBySecond = new double[durationSeconds];
    for (int i = 0; i < durationSeconds; i++) {
      millisBySecond[i] =
          latencyBySecond.get(i) == null
              ? 0
              : latencyBySecond.get(i).getValueAtPercentile(percentile) / 1e3;
    }
    return millisBySecond;
  }
}
