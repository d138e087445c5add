package fawndock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.TraceEvent;
import fawndock.conformance.WeightedGoodput;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the reading of day files and the goodput of a trace, weighted by priority. */
class DayFileTest {
  @TempDir Path directory;

  @Test
  void read_completeFile_returnsItsValues() throws Exception {
    DayFile day =
        DayFile.read(
            Files.writeString(
                directory.resolve("day.json"),
                """
                {"site":"s","length":4000000,"traffic":{"load":0.4},"servers":[{},{},{},{}],"balancers":[{},{}],
                "tiers":[{"kinds":[{"cores":3,"queue":9,"cold_from":0.3,"cold":5000000}]}],
                "classes":[{"name":"c","share":1,"work":1000,"aim":2000,"deadline":3000,"effect":"keyed","window":7}],
                "tenants":[{"name":"t","share":1}],"fam":{"plans":[{"rate":2,"burst":4,"price":0.5}],"calm":0.2},
                "troubles":[{"kind":"slow","at":1000000,"len":2000000,"size":3,"on":[1,2],
                "steps":[{"at":1500000,"stop":[1],"start":[]}]}]}
                """));
    assertEquals(4, day.seconds());
    assertEquals(Idempotency.DEDUPLICATED, day.requestClasses().get(0).idempotency());
    assertEquals(new DayFile.DayPlan("t", 1, 2, 4, 0.5, 0, 1, 2), day.plans().get(0));
    assertEquals(
        new DayFile.DayFault(
            "slow", 1, 2, 0.5, 3, 0, "", 0, List.of(new DayFile.FleetStep(1.5, 0.25, 0))),
        day.faults().get(0));
  }

  @Test
  void read_otherOrTruncatedFile_throws() throws Exception {
    Path file = Files.writeString(directory.resolve("other.json"), "{\"length\":1}");
    assertTrue(
        assertThrows(IOException.class, () -> DayFile.read(file))
            .getMessage()
            .contains("no 'classes'"));
    Path truncated = Files.writeString(directory.resolve("torn.json"), "{\"length\":");
    assertThrows(IOException.class, () -> DayFile.read(truncated));
  }

  /**
   * Three concurrent requests meet a burst capacity of two units, so two are within the quota. One
   * of these two is served within its latency objective.
   */
  @Test
  void weightedGoodput_countsRequestsWithinQuotaAndObjective() {
    ConformanceLimits limits =
        new ConformanceLimits(
            Map.of(
                "c",
                new RequestClass(
                    "c",
                    1_000,
                    0,
                    9_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false)),
            new ServiceRules(0, 0, 1, 0, 1, 1, 0),
            Map.of("x", new Plan("p", 1, 2, 0, 1, 0, 0, 0, 0, 0)),
            0);
    List<TraceEvent> trace =
        List.of(
            new TraceEvent.RequestSent(10, "a.0", 0, "c", "x", 1, 9_010),
            new TraceEvent.RequestSent(20, "b.0", 0, "c", "x", 1, 9_020),
            new TraceEvent.RequestSent(30, "d.0", 0, "c", "x", 1, 9_030),
            new TraceEvent.ResponseReceived(500, "a.0", 429),
            new TraceEvent.RequestSent(600, "a.1", 0, "c", "x", 1, 9_600),
            new TraceEvent.ResponseReceived(900, "a.1", 200),
            new TraceEvent.ResponseReceived(1_500, "b.0", 200),
            new TraceEvent.ResponseReceived(900, "d.0", 200));
    assertEquals(0.5, WeightedGoodput.shareOfOffered(trace, limits));
  }
}
