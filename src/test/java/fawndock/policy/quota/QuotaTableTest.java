package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyCollectionSizes;
import fawndock.policy.PolicyHarness;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.RequestArrived;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that the table evicts unused customers. */
class QuotaTableTest extends QuotaFixture {
  /** Guards against tables that grow with each customer ever seen. */
  @Test
  void customersSeenOnce_areEvicted() throws Exception {
    for (long id = 1; id <= 100_000; id++) {
      harness.nowMicros += 5_000;
      List<PolicyAction> actions =
          harness.onEvent(
              new RequestArrived(
                  id,
                  "class",
                  "plan",
                  "customer" + id,
                  harness.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
                  1,
                  2,
                  0,
                  false));
      StartAttempt attempt = single(StartAttempt.class, replyToCounterCalls(actions));
      harness.completeAttempt(id, 0, attempt.endpointId(), CallResult.OK, true);
    }
    Map<String, Integer> tables = PolicyCollectionSizes.sizes(harness.policy);
    assertTrue(tables.size() >= 9, tables.toString());
    tables.forEach((table, size) -> assertTrue(size < 30_000, table + " holds " + size));
  }
}
