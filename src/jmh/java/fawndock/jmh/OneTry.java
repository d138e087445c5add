package fawndock.jmh;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Counter;
import fawndock.Gatekeeper.Group;
import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Rules;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import fawndock.Logic;
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

/** One try through the module: asked, counted, sent, ended, and its timers when they are due. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class OneTry {
  private static final int CUSTOMERS = 200;

  /** Gatekeepers x servers. */
  @Param({"3x14", "190x300"})
  public String size;

  private Gatekeeper logic;
  private final ArrayDeque<Action> todo = new ArrayDeque<>();
  private final ArrayDeque<Long> due = new ArrayDeque<>();
  private final ArrayDeque<String> tokens = new ArrayDeque<>();
  private final Map<String, Double> load = Map.of("utilization", 0.5, "queue", 1.0);
  private final Map<String, Double> totals =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > 20 * CUSTOMERS; // Long after its two windows.
        }
      };
  private long now = 1_000_000;
  private long id;

  @Setup
  public void start() {
    int gatekeepers = Integer.parseInt(size.split("x")[0]);
    logic =
        new Logic(
            new Settings(
                0,
                gatekeepers,
                42,
                5_000,
                "here",
                false,
                List.of(
                    new RequestClass(
                        "c", 500_000, 0, 2_000_000, 1, 0, Repeat.IDEMPOTENT, Group.ALL, 0, false)),
                List.of(new Plan("p", 1e6, 1e6, 0, 1, 0, 0, 0, 0, 0)),
                new Limits(3, 10_000, 30_000_000, false, true, false, true, true),
                new Rules(10_000, 2_000_000, 0.2, 10_000_000, 2, 2_000_000, 10_000_000),
                new Counter(true, 50_000, false)));
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(size.split("x")[1]); i++) {
      servers.add(new Server("s" + i, "here", i / 4, Availability.RUNNING, 1, 0));
    }
    take(logic.on(now, new Servers(Listing.COMPLETE, servers)));
  }

  private void take(List<Action> actions) {
    todo.addAll(actions);
  }

  /** A request a millisecond; the counter takes half of one, the server five. */
  @Benchmark
  public int one() {
    now += 1_000;
    while (!due.isEmpty() && due.peek() <= now) {
      due.poll();
      take(logic.on(now, new Wake(tokens.poll())));
    }
    id++;
    take(
        logic.on(
            now,
            new Request(
                id, "c", "p", "customer-" + id % CUSTOMERS, now + 2_000_000, 1, 2, 0, false)));
    int done = 0;
    for (Action action = todo.poll(); action != null; action = todo.poll()) {
      done++;
      if (action instanceof Count c) {
        take(
            logic.on(
                now,
                new Counted(
                    c.name(), Result.OK, totals.merge(c.name(), c.amount(), Double::sum), 500)));
      } else if (action instanceof Attempt a) {
        take(
            logic.on(
                now, new Outcome(a.requestId(), 0, a.server(), 5_000, Result.OK, true, 0, load)));
      } else if (action instanceof WakeAfter w && w.token().startsWith("end:")) {
        due.add(
            now + w.micros()); // The longest timers; they come due in the order in which they are
        // set.
        tokens.add(w.token());
      }
    }
    return done;
  }

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    org.openjdk.jmh.Main.main(args);
  }
}
