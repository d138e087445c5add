package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long, and how many, ids of unanswered requests are kept. */
class UnansweredRequestsTest {
  private long nowMicros = 1_000;
  private final UnansweredRequests requests = new UnansweredRequests(() -> nowMicros);

  @Test
  void id_isKeptUntilItsTime() {
    requests.add("a", 2_000);
    requests.add("b", 5_000);
    assertTrue(requests.contains("a"));
    nowMicros = 2_000;
    assertFalse(requests.contains("a"));
    assertTrue(requests.contains("b"));
    requests.removeExpired();
    assertEquals(1, requests.size());
  }

  @Test
  void idsBeyondTheLimit_replaceTheOldest() {
    for (int i = 0; i <= UnansweredRequests.MAX_IDS; i++) {
      requests.add("id-" + i, 9_000);
    }
    assertEquals(UnansweredRequests.MAX_IDS, requests.size());
    assertFalse(requests.contains("id-0"));
    assertTrue(requests.contains("id-" + UnansweredRequests.MAX_IDS));
  }
}
