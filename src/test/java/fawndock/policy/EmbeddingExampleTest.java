package fawndock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.RequestArrived;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example in docs/embedding.md, and keeps the two the same. */
class EmbeddingExampleTest {
  @Test
  void example_sendsTheRequestAndIsThatOfThePage() throws Exception {
    // example
    PolicyConfig config =
        new PolicyConfig(
            0,
            2,
            42,
            1_000,
            "here",
            false,
            List.of(
                new RequestClass(
                    "lookup",
                    500_000,
                    0,
                    2_000_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false)),
            List.of(new Plan("basic", 2, 8, 0, 1, 0, 1, 0, 0, 0)),
            new GatewayLimits(3, 1_000, 1_000_000, false, true, false, false, true),
            new ServiceRules(10_000, 1_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000),
            new CounterConfig(true, 50_000, false));
    GatewayPolicy policy = new DefaultGatewayPolicy(config);
    long nowMicros = 1_000_000;
    policy.onEvent(
        nowMicros,
        new EndpointUpdate(
            EndpointUpdateKind.CACHED,
            List.of(new Endpoint("endpoint-1", "here", 0, EndpointState.RUNNING, 1, 0))));
    Deque<PolicyAction> todo =
        new ArrayDeque<>(
            policy.onEvent(
                nowMicros,
                new RequestArrived(
                    1, "lookup", "basic", "customer-1", nowMicros + 2_000_000, 1, 2, 0, false)));
    List<PolicyAction> others = new ArrayList<>();
    while (!todo.isEmpty()) {
      PolicyAction action = todo.poll();
      if (action instanceof AddToCounter count) {
        // Call your counter service, then report the total.
        todo.addAll(
            policy.onEvent(
                nowMicros,
                new CounterReply(count.counterName(), CallResult.OK, count.amount(), 900)));
      } else {
        others.add(action); // attempts to send, timers to schedule, answers to give
      }
    }
    // end of example
    assertEquals("endpoint-1", PolicyHarness.single(StartAttempt.class, others).endpointId());
    String page = Files.readString(Path.of("docs/embedding.md"));
    String source =
        Files.readString(Path.of("src/test/java/fawndock/policy/EmbeddingExampleTest.java"));
    String example =
        source.substring(source.indexOf("// example\n") + 11, source.indexOf("    // end of"));
    assertTrue(
        page.contains(example.indent(-4).strip()), "docs/embedding.md shows another example");
  }
}
