package fawndock.counter.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.CounterOperations;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs random fault schedules in a simulated cluster. A failing schedule is reported with its seed,
 * and {@code new Schedule(seed)} reproduces it.
 */
class ReplicationPropertyTest {
  private static final long SPAN_MILLIS = 3 * ClusterSimulation.WINDOW_MILLIS;

  /**
   * Maximum rate that the weighted estimate over two windows admits at this demand without faults,
   * as a share of the limit, for seeds 1 to 200.
   */
  private static final double MAX_RATE_WITHOUT_FAULTS = 1.12;

  /**
   * Maximum additional admission for each fault that docs/design/counter-replication.md states for
   * these timeouts, as a share of the limit of a span: demand above the limit, multiplied by the
   * time until gateways switch to another node, the delay between nodes, and two calls.
   */
  private static final double MAX_EXCESS_PER_FAULT =
      1.5 * (0.110 + 0.030 + 2 * 0.010) / (SPAN_MILLIS / 1e3);

  /**
   * Returns the share of a partition by which the estimate for the unreachable side may be too low:
   * two standard deviations at 60 requests per second.
   */
  private static double maxEstimateError(double averagingSeconds) {
    return 2 / Math.sqrt(2 * ClusterSimulation.LIMIT * averagingSeconds);
  }

  /** One or two random faults, which may overlap; after their end the invariants are checked. */
  private static final class Schedule {
    final ClusterSimulation cluster;
    final SplittableRandom random;
    long partitionMillis;
    final List<String> violations = new ArrayList<>();
    final List<String> faults = new ArrayList<>();

    Schedule(long seed) {
      cluster = new ClusterSimulation(seed);
      random = new SplittableRandom(~seed);
    }

    List<String> run() {
      cluster.run(1_500);
      int faultCount = 1 + random.nextInt(2);
      for (int i = 0; i < faultCount; i++) {
        cluster.after(random.nextInt(800), this::injectFault);
      }
      cluster.run(3_300);
      cluster.run(1_200);
      long window = cluster.nowMillis / ClusterSimulation.WINDOW_MILLIS;
      cluster.isQuiet = true;
      cluster.run(400);
      for (String customer : cluster.demand.keySet()) {
        checkSums(customer + "." + window);
      }
      double maxRate = cluster.maxAdmittedRate("over", SPAN_MILLIS);
      double permittedExcess =
          faults.size() * MAX_EXCESS_PER_FAULT
              + maxEstimateError(1.5) * partitionMillis / SPAN_MILLIS;
      if (maxRate > MAX_RATE_WITHOUT_FAULTS + permittedExcess) {
        violations.add(
            "over the limit: "
                + maxRate
                + ", permitted "
                + (MAX_RATE_WITHOUT_FAULTS + permittedExcess));
      }
      return violations;
    }

    private void injectFault() {
      String id = "n" + random.nextInt(ClusterSimulation.NODE_COUNT);
      ClusterSimulation.SimulatedNode node = cluster.nodes.get(id);
      long durationMillis = 100L + random.nextInt(2_000);
      int kind = random.nextInt(8);
      faults.add(
          "dies,stalls,split,one way,empty,clock,slow,list".split(",", 0)[kind]
              + " "
              + id
              + " for "
              + durationMillis);
      partitionMillis += kind == 2 ? durationMillis : 0;
      switch (kind) {
        case 0 -> {
          node.crash();
          cluster.after(durationMillis, () -> node.start(false));
        }
        case 1 -> {
          node.isStalled = true;
          cluster.after(durationMillis, () -> node.isStalled = false);
        }
        case 2 -> {
          List<String> isolatedSide = new ArrayList<>(List.of(id));
          List<String> otherSide = new ArrayList<>(cluster.nodes.keySet());
          otherSide.remove(id);
          for (int g = 0; g < ClusterSimulation.GATEWAY_COUNT; g++) {
            (random.nextBoolean() ? otherSide : isolatedSide).add("g" + g);
          }
          cluster.setPartitioned(otherSide, isolatedSide, true, true);
          cluster.after(
              durationMillis, () -> cluster.setPartitioned(otherSide, isolatedSide, true, false));
        }
        case 3 -> {
          List<String> target = List.of("n" + random.nextInt(ClusterSimulation.NODE_COUNT));
          cluster.setPartitioned(List.of(id), target, false, true);
          cluster.after(
              durationMillis, () -> cluster.setPartitioned(List.of(id), target, false, false));
        }
        case 4 -> {
          node.crash();
          cluster.after(Math.min(durationMillis, 300), () -> node.start(true));
        }
        case 5 -> node.clockOffsetMillis += random.nextBoolean() ? 2_000 : -500;
        case 6 -> {
          cluster.maxDelayMillis = 30;
          cluster.after(durationMillis, () -> cluster.maxDelayMillis = 4);
        }
        default -> {
          if (cluster.currentNodes == cluster.settingsNodes) {
            cluster.replace(
                id,
                "n" + (Integer.parseInt(id.substring(1)) + 1) % ClusterSimulation.NODE_COUNT,
                durationMillis / 20);
          }
        }
      }
    }

    /**
     * Checks that after the end of all faults and requests every node has the same sums, and that
     * they contain all acknowledged amounts.
     */
    private void checkSums(String name) {
      ClusterSimulation.SimulatedNode firstNode = cluster.nodes.get(cluster.currentNodes.get(0));
      for (ClusterSimulation.SimulatedNode node :
          cluster.currentNodes.stream().map(cluster.nodes::get).toList()) {
        if (!node.replica.isReady()) {
          violations.add(node.id + " does not answer after the end of all faults");
        }
        ReplicatedSums sums = new ReplicatedSums(new CounterOperations(node.table, Long.MAX_VALUE));
        double expectedTotal = 0;
        for (ClusterSimulation.SimulatedGateway gateway : cluster.gateways) {
          int[] acknowledged = gateway.acknowledged.getOrDefault(name, new int[2]);
          ReplicatedSum sum = sums.sumOf(name, gateway.origin(), node.clock());
          ReplicatedSum firstNodeSum =
              new ReplicatedSums(new CounterOperations(firstNode.table, Long.MAX_VALUE))
                  .sumOf(name, gateway.origin(), firstNode.clock());
          long added = sum == null ? 0 : sum.added().unscaledValue();
          long withdrawn = sum == null ? 0 : sum.withdrawn().unscaledValue();
          expectedTotal += added - withdrawn;
          if (added < acknowledged[0] || withdrawn < acknowledged[1]) {
            violations.add(
                node.id
                    + " lost sums of "
                    + gateway.id
                    + " on "
                    + name
                    + ": has "
                    + added
                    + " and "
                    + withdrawn
                    + ", acknowledged "
                    + acknowledged[0]
                    + " and "
                    + acknowledged[1]);
          }
          if (sum != null
              && firstNodeSum != null
              && (!sum.added().equals(firstNodeSum.added())
                  || !sum.withdrawn().equals(firstNodeSum.withdrawn()))) {
            violations.add(
                node.id
                    + " and "
                    + firstNode.id
                    + " do not agree on "
                    + name
                    + " of "
                    + gateway.id);
          }
        }
        if (sums.total(name, node.clock()).unscaledValue() != expectedTotal) {
          violations.add(
              node.id
                  + " has the total "
                  + sums.total(name, node.clock())
                  + " for sums of "
                  + expectedTotal);
        }
      }
    }
  }

  /** The baseline without faults, to which the permitted excess for each fault is added. */
  @Test
  void rate_withoutFaults_isBounded() {
    double maxRate =
        IntStream.range(0, 200)
            .parallel()
            .mapToDouble(
                seed -> {
                  ClusterSimulation cluster = new ClusterSimulation(seed);
                  cluster.run(6_000);
                  return cluster.maxAdmittedRate("over", SPAN_MILLIS);
                })
            .max()
            .orElseThrow();
    assertTrue(maxRate <= MAX_RATE_WITHOUT_FAULTS, "rate without faults: " + maxRate);
  }

  /**
   * Two nodes on one side of a partition that announce to each other origins that neither can reach
   * must not consider them alive.
   */
  @Test
  void rate_duringAOneMinutePartition_isBounded() {
    double maxExcess =
        IntStream.range(0, 20)
            .parallel()
            .mapToDouble(
                seed -> {
                  ClusterSimulation cluster = new ClusterSimulation(seed);
                  cluster.run(20_000);
                  double rateBefore = cluster.admittedRate("over", 8_000);
                  cluster.setPartitioned(
                      List.of("n0", "g0", "g1"), List.of("n1", "n2", "g2", "g3"), true, true);
                  cluster.run(60_000);
                  return cluster.admittedRate("over", 60_000) - rateBefore;
                })
            .max()
            .orElseThrow();
    assertTrue(
        maxExcess <= maxEstimateError(8),
        "rate above the rate before the partition, as a share of the limit: " + maxExcess);
  }

  @Test
  @Timeout(value = 5, unit = TimeUnit.MINUTES)
  void invariants_holdInTenThousandFaultSchedules() {
    List<String> failures =
        IntStream.range(0, 10_000)
            .parallel()
            .mapToObj(
                seed -> {
                  Schedule schedule = new Schedule(seed);
                  List<String> violations = schedule.run();
                  return violations.isEmpty()
                      ? ""
                      : "seed " + seed + " (" + schedule.faults + "): " + violations;
                })
            .filter(failure -> !failure.isEmpty())
            .toList();
    assertEquals(
        List.of(),
        failures.subList(0, Math.min(5, failures.size())),
        failures.size() + " schedules failed");
  }
}
