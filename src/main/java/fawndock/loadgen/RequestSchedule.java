package fawndock.loadgen;

import fawndock.loadgen.LoadPlan.Flow;
import fawndock.loadgen.LoadPlan.Request;
import fawndock.loadgen.LoadPlan.TraceReplay;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The requests of all flows and traces in the order of their intended starts; requests of the same
 * time are in the order of the load file. Not thread-safe.
 */
final class RequestSchedule {
  /**
   * A request with its intended start.
   *
   * @param atMicros intended start, from the start of the run
   * @param flowIndex index of the flow or trace in the load file, flows first
   */
  record ScheduledRequest(
      long atMicros, int flowIndex, Request request, String method, String path, String key) {}

  private interface RequestSource {
    ScheduledRequest next();
  }

  private record QueuedRequest(ScheduledRequest scheduled, RequestSource source) {}

  private final PriorityQueue<QueuedRequest> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.scheduled.atMicros != b.scheduled.atMicros
                  ? Long.compare(a.scheduled.atMicros, b.scheduled.atMicros)
                  : Integer.compare(a.scheduled.flowIndex, b.scheduled.flowIndex));

  /**
   * @param traces contents of the plan's traces, in the same order
   */
  RequestSchedule(LoadPlan plan, List<RequestTrace.ParsedTrace> traces) {
    List<RequestSource> sources = new ArrayList<>();
    for (int i = 0; i < plan.flows().size(); i++) {
      Flow flow = plan.flows().get(i);
      if (flow.closedLoopClients() == 0) {
        sources.add(
            generatedSource(
                flow, i, plan.seconds(), new SplittableRandom(plan.seed() * 1_000 + i)));
      }
    }
    for (int i = 0; i < traces.size(); i++) {
      sources.add(
          replaySource(
              plan.traces().get(i), traces.get(i), plan.flows().size() + i, plan.seconds()));
    }
    sources.forEach(this::enqueueNext);
  }

  private static RequestSource generatedSource(
      Flow flow, int flowIndex, double seconds, SplittableRandom random) {
    ArrivalProcess arrivals =
        new ArrivalProcess(
            flow.requestsPerSecond(), flow.shape(), flow.isEven(), seconds, random.split());
    CustomerSelector customers = new CustomerSelector(flow.customerCount(), flow.skew());
    Request template = flow.request();
    return () -> {
      long atMicros = arrivals.nextMicros();
      return atMicros < 0
          ? null
          : new ScheduledRequest(
              atMicros,
              flowIndex,
              template,
              template.method(),
              template.path(),
              key(flow, customers.draw(random)));
    };
  }

  /** Returns the API key of a customer of a flow. */
  static String key(Flow flow, int customer) {
    return flow.customerCount() == 1 ? flow.request().key() : flow.request().key() + customer;
  }

  private static RequestSource replaySource(
      TraceReplay replay, RequestTrace.ParsedTrace trace, int flowIndex, double seconds) {
    Request template = replay.request();
    int[] nextIndex = {0};
    return () -> {
      if (nextIndex[0] == trace.entries().size()) {
        return null;
      }
      RequestTrace.Entry entry = trace.entries().get(nextIndex[0]++);
      long atMicros = (long) (entry.atMicros() / replay.speed());
      return atMicros >= seconds * 1e6
          ? null
          : new ScheduledRequest(
              atMicros,
              flowIndex,
              template,
              entry.method().isEmpty() ? template.method() : entry.method(),
              entry.path().isEmpty() ? template.path() : entry.path(),
              entry.key().isEmpty() ? template.key() : template.key() + entry.key());
    };
  }

  private void enqueueNext(RequestSource source) {
    ScheduledRequest scheduled = source.next();
    if (scheduled != null) {
      queue.add(new QueuedRequest(scheduled, source));
    }
  }

  /** Removes and returns the next request that is due by a time, or null. */
  ScheduledRequest next(long untilMicros) {
    QueuedRequest first = queue.peek();
    if (first == null || first.scheduled.atMicros > untilMicros) {
      return null;
    }
    queue.poll();
    enqueueNext(first.source);
    return first.scheduled;
  }

  boolean isExhausted() {
    return queue.isEmpty();
  }
}
