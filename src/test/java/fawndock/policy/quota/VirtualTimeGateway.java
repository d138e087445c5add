package fawndock.policy.quota;

import fawndock.policy.PolicyCollectionSizes;
import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One gateway with bounded memory for quotas, in virtual time: timers fire when they are due, the
 * counter replies after a millisecond with a result that the test sets, and attempts succeed after
 * a latency that it sets.
 */
final class VirtualTimeGateway {
  private static final long COUNTER_LATENCY_MICROS = 1_000;
  private static final long DEADLINE_MICROS = 3 * PolicyHarness.SECOND_MICROS;

  /** An event that the gateway gets at a time; events of one time are in order of creation. */
  private record Scheduled(long atMicros, long index, PolicyEvent event) {}

  final PolicyHarness harness;

  /** The totals of the counter service, by counter name. */
  final Map<String, Double> totals = new HashMap<>();

  /** Requests forwarded, by customer. */
  final Map<String, Integer> forwarded = new HashMap<>();

  /** Requests rejected or failed, by customer. */
  final Map<String, Integer> notServed = new HashMap<>();

  CallResult counterResult = CallResult.OK;
  long attemptLatencyMicros = 20_000;

  /** Units that a response settles; 0 settles nothing. */
  double settledUnits;

  private final PriorityQueue<Scheduled> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMicros).thenComparingLong(Scheduled::index));

  private final Map<Long, String> customers = new HashMap<>();
  private long lastRequestId;
  private long lastEventIndex;

  VirtualTimeGateway(Plan plan, long maxQuotaBytes) {
    PolicyConfig config = PolicyHarness.config(plan, Idempotency.IDEMPOTENT, true, true);
    harness =
        new PolicyHarness(
            config.withLimits(config.limits().withMaxQuotaBytes(maxQuotaBytes)),
            "a",
            "b",
            "c",
            "d",
            "e",
            "f");
  }

  long nowMicros() {
    return harness.nowMicros;
  }

  /** Lets the time pass up to this moment. */
  void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros <= micros) {
      Scheduled next = events.poll();
      harness.nowMicros = Math.max(harness.nowMicros, next.atMicros);
      onEvent(next.event);
    }
    harness.nowMicros = Math.max(harness.nowMicros, micros);
  }

  /** Lets an additional time pass. */
  void runFor(long micros) {
    runUntil(harness.nowMicros + micros);
  }

  /** Sends a request of a customer now. */
  void request(String customer) {
    long id = ++lastRequestId;
    customers.put(id, customer);
    onEvent(
        new RequestArrived(
            id, "class", "plan", customer, nowMicros() + DEADLINE_MICROS, 1, 1, 0, false));
  }

  /** Sends requests of customers who come only once, evenly over a time. */
  void requestsOfNewCustomers(int count, long durationMicros) {
    long startMicros = nowMicros();
    for (int i = 0; i < count; i++) {
      runUntil(startMicros + i * durationMicros / count);
      request("new" + lastRequestId);
    }
    runUntil(startMicros + durationMicros);
  }

  private void onEvent(PolicyEvent event) {
    for (PolicyAction action : harness.onEvent(event)) {
      execute(action);
    }
  }

  private void execute(PolicyAction action) {
    if (action instanceof AddToCounter add) {
      boolean isAdded = counterResult == CallResult.OK;
      double total = isAdded ? totals.merge(add.counterName(), add.amount(), Double::sum) : 0;
      schedule(
          COUNTER_LATENCY_MICROS,
          new CounterReply(add.counterName(), counterResult, total, COUNTER_LATENCY_MICROS));
    } else if (action instanceof ScheduleTimer timer) {
      schedule(timer.delayMicros(), new TimerFired(timer.timer()));
    } else if (action instanceof StartAttempt attempt) {
      forwarded.merge(customers.get(attempt.requestId()), 1, Integer::sum);
      schedule(
          attemptLatencyMicros,
          new AttemptCompleted(
              attempt.requestId(),
              0,
              attempt.endpointId(),
              attemptLatencyMicros,
              CallResult.OK,
              true,
              settledUnits,
              LoadReport.NONE));
    } else if (action instanceof RejectRequest reject) {
      notServed.merge(customers.get(reject.requestId()), 1, Integer::sum);
    } else if (action instanceof FailRequest fail) {
      notServed.merge(customers.get(fail.requestId()), 1, Integer::sum);
    }
  }

  private void schedule(long delayMicros, PolicyEvent event) {
    events.add(new Scheduled(nowMicros() + delayMicros, ++lastEventIndex, event));
  }

  int forwarded(String customer) {
    return forwarded.getOrDefault(customer, 0);
  }

  int notServed(String customer) {
    return notServed.getOrDefault(customer, 0);
  }

  /** Returns the units that the counter service holds for a customer's rate, over all windows. */
  double countedUnits(String customer) {
    String prefix = QuotaKind.RATE.counterNamePrefix(customer);
    return totals.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  /** Returns the number of quotas that the gateway holds. */
  int quotaCount() {
    try {
      return PolicyCollectionSizes.sizes(harness.policy).get("QuotaTable.quotasByPrefix");
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }
}
