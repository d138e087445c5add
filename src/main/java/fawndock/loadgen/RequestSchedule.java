package fawndock.loadgen;

import fawndock.loadgen.LoadPlan.Flow;
import fawndock.loadgen.LoadPlan.Request;
import fawndock.loadgen.LoadPlan.TraceReplay;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * All that is due, of all flows and traces, in the order of its times; those of the same time in
 * the order of the file.
 */
final class RequestSchedule {
  /**
   * A request that is due.
   *
   * @param atMicros from the start of the run
   * @param flow its place in the file, flows first
   */
  record ScheduledRequest(
      long atMicros, int flow, Request request, String method, String path, String key) {}

  private interface RequestSource {
    ScheduledRequest next();
  }

  private record NextRequest(ScheduledRequest due, RequestSource from) {}

  private final PriorityQueue<NextRequest> heads =
      new PriorityQueue<>(
          (a, b) ->
              a.due.atMicros != b.due.atMicros
                  ? Long.compare(a.due.atMicros, b.due.atMicros)
                  : Integer.compare(a.due.flow, b.due.flow));

  /**
   * @param traces read, in the order of the plan's
   */
  RequestSchedule(LoadPlan plan, List<RequestTrace.Read> traces) {
    List<RequestSource> all = new ArrayList<>();
    for (int i = 0; i < plan.flows().size(); i++) {
      Flow flow = plan.flows().get(i);
      if (flow.closed() == 0) {
        all.add(drawn(flow, i, plan.seconds(), new SplittableRandom(plan.seed() * 1_000 + i)));
      }
    }
    for (int i = 0; i < traces.size(); i++) {
      all.add(played(plan.traces().get(i), traces.get(i), plan.flows().size() + i, plan.seconds()));
    }
    all.forEach(this::refill);
  }

  private static RequestSource drawn(
      Flow flow, int place, double seconds, SplittableRandom random) {
    ArrivalProcess arrivals =
        new ArrivalProcess(flow.rate(), flow.shape(), flow.even(), seconds, random.split());
    CustomerSelector customers = new CustomerSelector(flow.customers(), flow.skew());
    Request r = flow.request();
    return () -> {
      long at = arrivals.nextMicros();
      return at < 0
          ? null
          : new ScheduledRequest(
              at, place, r, r.method(), r.path(), key(flow, customers.draw(random)));
    };
  }

  /** The key of one of a flow's customers. */
  static String key(Flow flow, int customer) {
    return flow.customers() == 1 ? flow.request().key() : flow.request().key() + customer;
  }

  private static RequestSource played(
      TraceReplay played, RequestTrace.Read read, int place, double seconds) {
    Request r = played.request();
    int[] next = {0};
    return () -> {
      if (next[0] == read.entries().size()) {
        return null;
      }
      RequestTrace.Entry e = read.entries().get(next[0]++);
      long at = (long) (e.atMicros() / played.speed());
      return at >= seconds * 1e6
          ? null
          : new ScheduledRequest(
              at,
              place,
              r,
              e.method().isEmpty() ? r.method() : e.method(),
              e.path().isEmpty() ? r.path() : e.path(),
              e.key().isEmpty() ? r.key() : r.key() + e.key());
    };
  }

  private void refill(RequestSource from) {
    ScheduledRequest due = from.next();
    if (due != null) {
      heads.add(new NextRequest(due, from));
    }
  }

  /** The next that is due by a time, or null. */
  ScheduledRequest next(long untilMicros) {
    NextRequest head = heads.peek();
    if (head == null || head.due.atMicros > untilMicros) {
      return null;
    }
    heads.poll();
    refill(head.from);
    return head.due;
  }

  boolean done() {
    return heads.isEmpty();
  }
}
