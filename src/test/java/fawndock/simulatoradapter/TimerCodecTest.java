package fawndock.simulatoradapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.PolicyTimer.AnswerDeadline;
import fawndock.policy.event.PolicyTimer.CounterWaitTimeout;
import fawndock.policy.event.PolicyTimer.FlushPendingAdds;
import fawndock.policy.event.PolicyTimer.LatencyObjectiveExceeded;
import fawndock.policy.event.PolicyTimer.QueueTimeout;
import fawndock.policy.event.PolicyTimer.RewatchEndpoints;
import fawndock.policy.event.PolicyTimer.UnknownTimer;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Encodes and decodes each kind of timer, and decodes texts that encode none. */
class TimerCodecTest {
  @Test
  void eachTimerIsEncodedAndDecoded() {
    Map<PolicyTimer, String> texts = new LinkedHashMap<>();
    texts.put(new AnswerDeadline(7), "end:7");
    texts.put(new QueueTimeout(0), "hold:0");
    texts.put(new LatencyObjectiveExceeded(-3), "late:-3");
    texts.put(new CounterWaitTimeout(999_999_999_999_999_999L), "ask:999999999999999999");
    texts.put(new FlushPendingAdds("rcustomer:1.2s"), "owed:rcustomer:1.2s");
    texts.put(new RewatchEndpoints(), "watch:");
    texts.put(new UnknownTimer("what is this"), "what is this");
    texts.forEach(
        (timer, text) -> {
          assertEquals(text, TimerCodec.encode(timer));
          assertEquals(timer, TimerCodec.decode(text));
        });
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", ":", "end", "end:", "end:x", "end:1x", "watch:1", "other:1", "7", "END:7"})
  void anyOtherTextIsAnUnknownTimer(String text) {
    assertEquals(new UnknownTimer(text), TimerCodec.decode(text));
  }

  @Test
  void requestIdOfMoreThanEighteenDigitsIsAnUnknownTimer() {
    String text = "end:1000000000000000000";
    assertEquals(new UnknownTimer(text), TimerCodec.decode(text));
  }
}
