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
 * Schedules of breaks by seed; a failing one is reported with its seed, and {@code new
 * Schedule(seed)} plays it again.
 */
class ReplicationPropertyTest {
  private static final long SPAN = 3 * ClusterSimulation.WINDOW;

  /**
   * What the weighted estimate over two windows lets through at this demand with no break at all,
   * seeds 1 to 200.
   */
  private static final double CALM = 1.12;

  /**
   * The claim of docs/design/counter-replication.md for these times, as a share of what a span
   * allows: demand over the limit, until gateways turn to another node, delay between nodes, two
   * calls; for each break.
   */
  private static final double CLAIMED = 1.5 * (0.110 + 0.030 + 2 * 0.010) / (SPAN / 1e3);

  /**
   * Of the time of a split, by which the estimate of the unheard half may be low: two deviations of
   * 60 a second.
   */
  private static double errs(double rateSeconds) {
    return 2 / Math.sqrt(2 * ClusterSimulation.LIMIT * rateSeconds);
  }

  /** One or two breaks at random, which may overlap, then mended, then what must hold. */
  private static final class Schedule {
    final ClusterSimulation fleet;
    final SplittableRandom random;
    long splitMillis;
    final List<String> wrong = new ArrayList<>();
    final List<String> breaks = new ArrayList<>();

    Schedule(long seed) {
      fleet = new ClusterSimulation(seed);
      random = new SplittableRandom(~seed);
    }

    List<String> play() {
      fleet.run(1_500);
      int many = 1 + random.nextInt(2);
      for (int i = 0; i < many; i++) {
        fleet.after(random.nextInt(800), this::strike);
      }
      fleet.run(3_300);
      fleet.run(1_200);
      long number = fleet.now / ClusterSimulation.WINDOW;
      fleet.quiet = true;
      fleet.run(400);
      for (String customer : fleet.demand.keySet()) {
        judge(customer + "." + number);
      }
      double most = fleet.most("over", SPAN);
      double claimed = breaks.size() * CLAIMED + errs(1.5) * splitMillis / SPAN;
      if (most > CALM + claimed) {
        wrong.add("over the limit: " + most + ", claimed " + (CALM + claimed));
      }
      return wrong;
    }

    private void strike() {
      String id = "n" + random.nextInt(ClusterSimulation.NODES);
      ClusterSimulation.SimulatedNode node = fleet.nodes.get(id);
      long length = 100L + random.nextInt(2_000);
      int kind = random.nextInt(8);
      breaks.add(
          "dies,stalls,split,one way,empty,clock,slow,list".split(",", 0)[kind]
              + " "
              + id
              + " for "
              + length);
      splitMillis += kind == 2 ? length : 0;
      switch (kind) {
        case 0 -> {
          node.die();
          fleet.after(length, () -> node.start(false));
        }
        case 1 -> {
          node.stalled = true;
          fleet.after(length, () -> node.stalled = false);
        }
        case 2 -> {
          List<String> there = new ArrayList<>(List.of(id));
          List<String> here = new ArrayList<>(fleet.nodes.keySet());
          here.remove(id);
          for (int g = 0; g < ClusterSimulation.GATEWAYS; g++) {
            (random.nextBoolean() ? here : there).add("g" + g);
          }
          fleet.cut(here, there, true, true);
          fleet.after(length, () -> fleet.cut(here, there, true, false));
        }
        case 3 -> {
          List<String> other = List.of("n" + random.nextInt(ClusterSimulation.NODES));
          fleet.cut(List.of(id), other, false, true);
          fleet.after(length, () -> fleet.cut(List.of(id), other, false, false));
        }
        case 4 -> {
          node.die();
          fleet.after(Math.min(length, 300), () -> node.start(true));
        }
        case 5 -> node.skew += random.nextBoolean() ? 2_000 : -500;
        case 6 -> {
          fleet.slowest = 30;
          fleet.after(length, () -> fleet.slowest = 4);
        }
        default -> {
          if (fleet.list == fleet.settings) {
            fleet.replace(
                id,
                "n" + (Integer.parseInt(id.substring(1)) + 1) % ClusterSimulation.NODES,
                length / 20);
          }
        }
      }
    }

    /**
     * When all is mended and quiet, every node has the same sums, and what was acknowledged is in
     * them.
     */
    private void judge(String name) {
      ClusterSimulation.SimulatedNode first = fleet.nodes.get(fleet.list.get(0));
      for (ClusterSimulation.SimulatedNode node :
          fleet.list.stream().map(fleet.nodes::get).toList()) {
        if (!node.node.isReady()) {
          wrong.add(node.id + " does not answer after all was mended");
        }
        ReplicatedSums sums = new ReplicatedSums(new CounterOperations(node.table, Long.MAX_VALUE));
        double all = 0;
        for (ClusterSimulation.SimulatedGateway gate : fleet.gateways) {
          int[] acknowledged = gate.acknowledged.getOrDefault(name, new int[2]);
          ReplicatedSum has = sums.sumOf(name, gate.origin(), node.clock());
          ReplicatedSum other =
              new ReplicatedSums(new CounterOperations(first.table, Long.MAX_VALUE))
                  .sumOf(name, gate.origin(), first.clock());
          long plus = has == null ? 0 : has.added().unscaledValue();
          long minus = has == null ? 0 : has.withdrawn().unscaledValue();
          all += plus - minus;
          if (plus < acknowledged[0] || minus < acknowledged[1]) {
            wrong.add(
                node.id
                    + " lost of "
                    + gate.id
                    + " on "
                    + name
                    + ": has "
                    + plus
                    + " and "
                    + minus
                    + ", acknowledged "
                    + acknowledged[0]
                    + " and "
                    + acknowledged[1]);
          }
          if (has != null
              && other != null
              && (!has.added().equals(other.added())
                  || !has.withdrawn().equals(other.withdrawn()))) {
            wrong.add(node.id + " and " + first.id + " do not agree on " + name + " of " + gate.id);
          }
        }
        if (sums.total(name, node.clock()).unscaledValue() != all) {
          wrong.add(
              node.id + " has the total " + sums.total(name, node.clock()) + " for sums of " + all);
        }
      }
    }
  }

  /**
   * What the weighted estimate lets through with no break, which is what the breaks' share is added
   * to.
   */
  @Test
  void calm() {
    double most =
        IntStream.range(0, 200)
            .parallel()
            .mapToDouble(
                seed -> {
                  ClusterSimulation fleet = new ClusterSimulation(seed);
                  fleet.run(6_000);
                  return fleet.most("over", SPAN);
                })
            .max()
            .orElseThrow();
    assertTrue(most <= CALM, "calm " + most);
  }

  /**
   * Two nodes of one half that announce to each other origins that neither hears must not take them
   * for alive.
   */
  @Test
  void aSplitOfAMinute() {
    double most =
        IntStream.range(0, 20)
            .parallel()
            .mapToDouble(
                seed -> {
                  ClusterSimulation fleet = new ClusterSimulation(seed);
                  fleet.run(20_000);
                  double before = fleet.rate("over", 8_000);
                  fleet.cut(List.of("n0", "g0", "g1"), List.of("n1", "n2", "g2", "g3"), true, true);
                  fleet.run(60_000);
                  return fleet.rate("over", 60_000) - before;
                })
            .max()
            .orElseThrow();
    assertTrue(most <= errs(8), "beyond what was let through before, of the limit: " + most);
  }

  @Test
  @Timeout(value = 5, unit = TimeUnit.MINUTES)
  void tenThousandSchedulesOfBreaks() {
    List<String> wrong =
        IntStream.range(0, 10_000)
            .parallel()
            .mapToObj(
                seed -> {
                  Schedule schedule = new Schedule(seed);
                  List<String> found = schedule.play();
                  return found.isEmpty()
                      ? ""
                      : "seed " + seed + " (" + schedule.breaks + "): " + found;
                })
            .filter(w -> !w.isEmpty())
            .toList();
    assertEquals(
        List.of(), wrong.subList(0, Math.min(5, wrong.size())), wrong.size() + " schedules failed");
  }
}
