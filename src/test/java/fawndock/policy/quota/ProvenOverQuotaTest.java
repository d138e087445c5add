package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests rejections without a counter call. */
class ProvenOverQuotaTest extends QuotaFixture {
  @Test
  void throttledAndProvenOverQuota_requestIsRejectedWithoutACall() {
    for (long id = 1; id <= 5; id++) {
      replyToCounterCalls(harness.request(id));
    }
    String name = single(AddToCounter.class, harness.request(6)).counterName();
    harness.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 7; id <= 20; id++) {
      List<PolicyAction> actions = harness.request(id);
      assertTrue(allOf(AddToCounter.class, actions).isEmpty());
      assertEquals(1, allOf(RejectRequest.class, actions).size());
    }
  }
}
