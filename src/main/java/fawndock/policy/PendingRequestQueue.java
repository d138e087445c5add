package fawndock.policy;

import fawndock.policy.deadline.Deadlines;
import fawndock.policy.event.PolicyTimer;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** The admitted requests that wait for an endpoint: the highest rank first, then the oldest. */
final class PendingRequestQueue {
  private final EventContext context;
  private final SplittableRandom random;
  private final Deadlines deadlines;
  private final TreeSet<PendingRequest> requests =
      new TreeSet<>(PendingRequestQueue::compareByRank);

  PendingRequestQueue(EventContext context, SplittableRandom random, Deadlines deadlines) {
    this.context = context;
    this.random = random;
    this.deadlines = deadlines;
  }

  private static int compareByRank(PendingRequest a, PendingRequest b) {
    if (a.rank() != b.rank()) {
      return Double.compare(b.rank(), a.rank());
    }
    return a.arrivedAtMicros() != b.arrivedAtMicros()
        ? Long.compare(a.arrivedAtMicros(), b.arrivedAtMicros())
        : Long.compare(a.id(), b.id());
  }

  /** Lets a request wait for its first or next attempt. */
  void add(PendingRequest request) {
    long timeoutAtMicros = deadlines.queueTimeoutAtMicros(request);
    int endpointDraw = random.nextInt(Integer.MAX_VALUE);
    double slowStartDraw = random.nextDouble();
    request.setQueueing(timeoutAtMicros, endpointDraw, slowStartDraw);
    requests.add(request);
    context.scheduleAt(timeoutAtMicros, new PolicyTimer.QueueTimeout(request.id()));
  }

  /** The first request, or null. */
  PendingRequest first() {
    return requests.isEmpty() ? null : requests.first();
  }

  /** The request after one, or null. */
  PendingRequest next(PendingRequest request) {
    return requests.higher(request);
  }

  /** Takes a request out; returns whether it waited. */
  boolean remove(PendingRequest request) {
    return requests.remove(request);
  }
}
