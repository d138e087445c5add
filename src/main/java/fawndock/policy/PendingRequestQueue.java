package fawndock.policy;

import fawndock.policy.deadline.Deadlines;
import fawndock.policy.event.PolicyTimer;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Queues the admitted requests that wait for an endpoint, ordered by descending rank, then by
 * arrival time and id. Not thread-safe.
 */
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

  /** Queues a request for its first or next attempt and schedules its queue timeout. */
  void add(PendingRequest request) {
    long timeoutAtMicros = deadlines.queueTimeoutAtMicros(request);
    int endpointDraw = random.nextInt(Integer.MAX_VALUE);
    double slowStartDraw = random.nextDouble();
    request.setQueueing(timeoutAtMicros, endpointDraw, slowStartDraw);
    requests.add(request);
    context.scheduleAt(timeoutAtMicros, new PolicyTimer.QueueTimeout(request.id()));
  }

  /** Returns the first request, or null if the queue is empty. */
  PendingRequest first() {
    return requests.isEmpty() ? null : requests.first();
  }

  /** Returns the request that follows the given one, or null if there is none. */
  PendingRequest next(PendingRequest request) {
    return requests.higher(request);
  }

  /** Removes a request and returns whether it was queued. */
  boolean remove(PendingRequest request) {
    return requests.remove(request);
  }
}
