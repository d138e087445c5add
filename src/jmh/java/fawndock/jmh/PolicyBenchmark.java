package fawndock.jmh;

import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the policy for one request: counter call, attempt, response and due timers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class PolicyBenchmark {
  private static final int CUSTOMERS = 200;

  /** Number of gateway instances x number of endpoints. */
  @Param({"3x14", "190x300"})
  public String size;

  private GatewayPolicy policy;
  private final ArrayDeque<PolicyAction> pendingActions = new ArrayDeque<>();
  private final ArrayDeque<Long> timerDueMicros = new ArrayDeque<>();
  private final ArrayDeque<PolicyTimer> timers = new ArrayDeque<>();
  private final LoadReport load =
      new LoadReport.Builder().utilization(0.5).queuedRequests(1).build();
  private final Map<String, Double> totals =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > 20 * CUSTOMERS; // Evicts a counter long after its two windows.
        }
      };
  private long nowMicros = 1_000_000;
  private long id;

  @Setup
  public void start() {
    int instances = Integer.parseInt(size.split("x", 0)[0]);
    policy =
        new DefaultGatewayPolicy(
            new PolicyConfig(
                0,
                instances,
                42,
                5_000,
                "here",
                false,
                List.of(
                    new RequestClass(
                        "c",
                        500_000,
                        0,
                        2_000_000,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false)),
                List.of(new Plan("p", 1e6, 1e6, 0, 1, 0, 0, 0, 0, 0)),
                new GatewayLimits(3, 10_000, 30_000_000, false, true, false, true, true),
                new ServiceRules(10_000, 2_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000),
                new CounterConfig(true, 50_000, false)));
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(size.split("x", 0)[1]); i++) {
      endpoints.add(new Endpoint("s" + i, "here", i / 4, EndpointState.RUNNING, 1, 0));
    }
    enqueue(policy.onEvent(nowMicros, new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)));
  }

  private void enqueue(List<PolicyAction> actions) {
    pendingActions.addAll(actions);
  }

  /** One request per millisecond; the counter takes 0.5 ms, the endpoint 5 ms. */
  @Benchmark
  public int request() {
    nowMicros += 1_000;
    while (!timerDueMicros.isEmpty() && timerDueMicros.peek() <= nowMicros) {
      timerDueMicros.poll();
      enqueue(policy.onEvent(nowMicros, new TimerFired(timers.poll())));
    }
    id++;
    enqueue(
        policy.onEvent(
            nowMicros,
            new RequestArrived(
                id,
                "c",
                "p",
                "customer-" + id % CUSTOMERS,
                nowMicros + 2_000_000,
                1,
                2,
                0,
                false)));
    int actionCount = 0;
    for (PolicyAction action = pendingActions.poll();
        action != null;
        action = pendingActions.poll()) {
      actionCount++;
      if (action instanceof AddToCounter addition) {
        enqueue(
            policy.onEvent(
                nowMicros,
                new CounterReply(
                    addition.counterName(),
                    CallResult.OK,
                    totals.merge(addition.counterName(), addition.amount(), Double::sum),
                    500)));
      } else if (action instanceof StartAttempt attempt) {
        enqueue(
            policy.onEvent(
                nowMicros,
                new AttemptCompleted(
                    attempt.requestId(),
                    0,
                    attempt.endpointId(),
                    5_000,
                    CallResult.OK,
                    true,
                    0,
                    load)));
      } else if (action instanceof ScheduleTimer scheduledTimer
          && scheduledTimer.timer() instanceof PolicyTimer.AnswerDeadline) {
        // Only the longest timers run; they are due in the order in which they are scheduled.
        timerDueMicros.add(nowMicros + scheduledTimer.delayMicros());
        timers.add(scheduledTimer.timer());
      }
    }
    return actionCount;
  }

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    org.openjdk.jmh.Main.main(args);
  }
}
