package fawndock.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeBackend;
import fawndock.loadgen.ClientBehavior;
import fawndock.loadgen.RateShape;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.settings.ConfigurationException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SimulationTest {
  private static final ClientBehavior PATIENT_CLIENT =
      new ClientBehavior(3_000_000, ClientBehavior.Retry.NONE, 0, 1, false);

  private static Deployment deployment(long seed, double seconds) {
    return new Deployment(
        6,
        8,
        2,
        new FakeBackend.BackendConfig(4, 20_000, 200, 0.2, 4_000_000, 2, 1_000_000),
        0.02,
        new Deployment.NetworkModel(200, 100, 0),
        new Deployment.CounterModel(20_000, 50_000, 2, 0, 0),
        50_000,
        List.of(
            new RequestClass(
                "lookup",
                500_000,
                1,
                2_000_000,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false)),
        List.of(new Plan("seat", 20, 40, 0, 1, 0, 0, 0, 0, 0)),
        new GatewayLimits(3, 2_000, 60_000_000, false, true, true, true, true),
        new ServiceRules(10_000, 1_000_000, 0.2, 4_000_000, 2, 1_000_000, 60_000_000),
        List.of(
            new Deployment.Demand(
                "over",
                "lookup",
                "seat",
                4,
                0,
                6,
                120,
                new RateShape.Constant(),
                1_500_000,
                PATIENT_CLIENT),
            new Deployment.Demand(
                "under",
                "lookup",
                "seat",
                4,
                0,
                6,
                40,
                new RateShape.Constant(),
                1_500_000,
                PATIENT_CLIENT)),
        seconds,
        seed);
  }

  private static SimulationResult run(Simulation emulation) {
    return emulation.run();
  }

  @Test
  void runUntil_eventsAtTheSameTime_runInSchedulingOrder() {
    EventQueue agenda = new EventQueue();
    List<Integer> seen = new ArrayList<>();
    agenda.scheduleAt(
        5,
        () -> {
          seen.add(1);
          agenda.scheduleAt(5, () -> seen.add(4));
          agenda.scheduleAt(3, () -> seen.add(5));
        });
    agenda.scheduleAt(5, () -> seen.add(2));
    agenda.scheduleAt(4, () -> seen.add(0));
    agenda.scheduleAt(5, () -> seen.add(3));
    agenda.runUntil(5);
    assertEquals(List.of(0, 1, 2, 3, 4, 5), seen);
    assertEquals(5, agenda.nowMicros());
  }

  @Test
  void run_sameSeed_givesSameResultWithinPlans() {
    SimulationResult first = run(new Simulation(deployment(1, 30), DefaultGatewayPolicy::new));
    SimulationResult again = run(new Simulation(deployment(1, 30), DefaultGatewayPolicy::new));
    assertEquals(first.figures(), again.figures());
    first
        .series()
        .forEach((name, values) -> assertArrayEquals(values, again.series().get(name), name));
    assertNotEquals(
        first.responsesByStatus(),
        run(new Simulation(deployment(2, 30), DefaultGatewayPolicy::new)).responsesByStatus());
    assertTrue(first.conformance().isConformant(), first.conformance().violations().toString());
    assertTrue(
        first.figures().get("use.over") > 0.9 && first.figures().get("use.over") < 1.1,
        "30 a second asked, 20 " + "allowed, 4 times: " + first.figures());
    assertTrue(first.figures().get("kept.under") > 0.95, "10 a second asked: " + first.figures());
    assertTrue(first.figures().get("refused-within-plan-a-try") < 0.05, first.figures().toString());
  }

  @Test
  void run_withFaults_changesResultAndStaysConformant() {
    long calm =
        run(new Simulation(deployment(1, 20), DefaultGatewayPolicy::new))
            .responsesByStatus()
            .get(200);
    Simulation silent = new Simulation(deployment(1, 20), DefaultGatewayPolicy::new);
    Faults.counterUnreachable(silent, 5, 15);
    SimulationResult result = run(silent);
    assertTrue(
        result.responsesByStatus().get(200) > calm + 200,
        "let in while the counter is silent: " + result.responsesByStatus());
    assertTrue(result.conformance().isConformant(), result.conformance().violations().toString());
    Simulation bad = new Simulation(deployment(1, 20), DefaultGatewayPolicy::new);
    Faults.backendRestart(bad, 3, 8, "w0");
    Faults.backendUnresponsive(bad, 6, 12, "w1");
    Faults.backendSlow(bad, 6, 12, "w2", 10);
    Faults.backendLosesResponses(bad, 2, 18, "w3", 0.3);
    Faults.counterRestart(bad, 9, 11, true);
    Faults.counterPartitioned(bad, 13, 16, 3, -1);
    Faults.networkSlow(bad, 14, 15, 5);
    SimulationResult many = run(bad);
    assertTrue(many.conformance().isConformant(), many.conformance().violations().toString());
    assertTrue(
        many.responsesByStatus().get(200) > 0.8 * calm,
        many.responsesByStatus() + " beside " + calm);
  }

  /** Decisions that answer twice, or send twice what must not be, are found by the same judge. */
  @Test
  void run_withFaultyPolicy_reportsViolations() {
    Function<PolicyConfig, GatewayPolicy> mute = s -> (now, event) -> List.of();
    assertTrue(run(new Simulation(deployment(1, 2), mute)).conformance().unansweredCount() > 100);
    Function<PolicyConfig, GatewayPolicy> hasty =
        s ->
            new GatewayPolicy() {
              @Override
              public List<PolicyAction> onEvent(long now, PolicyEvent event) {
                return event instanceof RequestArrived r
                    ? List.of(
                        new StartAttempt(r.requestId(), "w0", 0),
                        new StartAttempt(r.requestId(), "w1", 0))
                    : List.of();
              }
            };
    Deployment once = deployment(1, 2);
    RequestClass charge =
        new RequestClass(
            "lookup",
            500_000,
            1,
            2_000_000,
            1,
            0,
            Idempotency.AT_MOST_ONCE,
            DeduplicationScope.ALL,
            0,
            false);
    once =
        new Deployment(
            6,
            8,
            1,
            once.backend(),
            0,
            once.network(),
            once.counter(),
            0,
            List.of(charge),
            once.plans(),
            once.limits(),
            once.rules(),
            once.demands(),
            2,
            1);
    assertTrue(run(new Simulation(once, hasty)).conformance().violations().size() > 5);
    Function<PolicyConfig, GatewayPolicy> strict =
        s ->
            (now, event) ->
                event instanceof RequestArrived r
                    ? List.of(new RejectRequest(r.requestId(), 1_000_000))
                    : List.of();
    assertEquals(
        java.util.Set.of(429),
        run(new Simulation(deployment(1, 2), strict)).responsesByStatus().keySet());
  }

  /**
   * Each kind does what it says, seen in the figures beside a calm run, and no rule is broken by
   * it.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
            counter-turns-away from 5s until 18s share 1                   | use                       | more | 1.1
            counter-slow from 5s until 18s times 400                       | counter-queue-ms          | more | 20
            counter-loses from 10s                                         | use                       | more | 1.0
            counter-split from 5s until 18s gatekeepers 6 part 1           | use                       | more | 1.03
            worker-errs worker 0 count 8 from 5s until 18s share 0.9       | served-a-try              | less | 0.9
            worker-leaks worker 0 count 8 from 5s until 18s many 300       | served-a-try              | less | 0.9
            worker-drains worker 0 count 7 from 5s until 18s               | served-a-try              | less | 1.0
            zone-dies zone 1 from 5s until 15s                             | p99-ms                    | more | 1.05
            deploy from 2s until 19s many 2                                | p99-ms                    | more | 1.05
            gatekeeper-dies gatekeepers 2 from 5s until 9s                 | left-a-try                | more | 0
            burst from 8s until 16s times 4 demand under                   | requests                  | more | 1.3
            give-up from 5s until 15s share 0.5                            | left-a-try                | more | 0
            retry-storm from 5s until 15s many 20                          | requests                  | more | 1.2
            poison from 5s until 15s share 0.01                            | repeated-attempts-a-try   | more | 2
            clock-skew from 5s until 15s gatekeepers 3 by 700ms behind yes | use                       | more | 1.0
            """)
  void run_withEachFault_changesItsFigure(
      String trouble, String figure, String way, double times, @TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("d.emu");
    String base =
        """
                gatekeepers 6
                workers 8 zones 2 cores 2
                counter parts 2
                roster 100ms
                rules drain-grace 1s cold-time 2s
                for 20s
                class lookup aim 500ms deadline 2s repeat idempotent
                plan seat rate 20 store 40
                demand over class lookup plan seat rate 100 customers 4 remaining 1500ms give-up 3s
                demand under class lookup plan seat rate 40 customers 4 remaining 1500ms give-up 3s
                """;
    Files.writeString(file, base);
    double calm =
        run(DeploymentFile.read(file).createSimulation(DefaultGatewayPolicy::new))
            .figures()
            .get(figure);
    Files.writeString(file, base + "trouble " + trouble + "\n");
    SimulationResult result =
        run(DeploymentFile.read(file).createSimulation(DefaultGatewayPolicy::new));
    double troubled = result.figures().get(figure);
    assertTrue(
        way.equals("more") ? troubled > times * calm : troubled < times * calm,
        troubled + " beside " + calm);
    assertTrue(result.conformance().isConformant(), result.conformance().violations().toString());
  }

  @Test
  void read_deploymentFile_describesRunAndReportsAllErrors(@TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("d.emu");
    Files.writeString(
        file,
        """
                gatekeepers 6
                workers 8
                for 20s
                class lookup aim 500ms deadline 2s repeat idempotent
                plan seat rate 20 store 40
                demand crowd class lookup plan seat rate 160 customers 4 remaining 1500ms
                trouble counter-silent from 5s until 15s
                """);
    DeploymentFile.ParsedDeployment read = DeploymentFile.read(file);
    SimulationResult calm = run(new Simulation(read.deployment(), DefaultGatewayPolicy::new));
    Simulation troubled = new Simulation(read.deployment(), DefaultGatewayPolicy::new);
    read.faults().forEach(trouble -> trouble.accept(troubled));
    assertTrue(
        run(troubled).responsesByStatus().get(200) > calm.responsesByStatus().get(200) + 200);
    Files.writeString(
        file,
        "let rate 20\nwhen rate 20 demand x class a plan b\ntrouble rain from 3s until 2s\nworkers $n\n"
            + "when rate 21 nonsense\n");
    String told =
        assertThrows(ConfigurationException.class, () -> DeploymentFile.read(file)).getMessage();
    for (String each :
        List.of(
            ":2: demand x has no rate",
            ":2: there is no class 'a'",
            ":2: there is no plan 'b'",
            ":3: trouble rain ends before",
            ":3: trouble 'rain'",
            ":4: there is no variable '$n'")) {
      assertTrue(told.contains(each), each + " in " + told);
    }
  }

  /** The file format is the users': its keywords stay while names in the code change. */
  @Test
  void read_unknownKeywordOrFault_listsAllThatTheFormatHas(@TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("d.emu");
    Files.writeString(file, "unknown\ntrouble unknown from 1s until 2s\n");
    String message =
        assertThrows(ConfigurationException.class, () -> DeploymentFile.read(file)).getMessage();
    assertTrue(
        message.contains(
            "one of let gatekeepers workers network counter roster for seed class plan limits rules "
                + "demand trouble include"),
        message);
    assertTrue(
        message.contains(
            "one of counter-silent counter-dies counter-loses counter-slow counter-turns-away "
                + "counter-split worker-slow worker-silent worker-loses-answers worker-errs "
                + "worker-leaks worker-dies worker-drains deploy zone-dies network-slow roster-mute "
                + "clock-skew gatekeeper-dies burst give-up retry-storm poison"),
        message);
  }

  /** Each argument of the file format is known to its line. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "workers 8 cores 2 work 20ms queue 9 cold-share 0.2 cold-time 2s fall-multiple 2 fall-time 2s "
            + "thrash 0.1 zones 2",
        "network way 200us more 100us loss 0.01",
        "counter rate 20000 wait 50ms parts 2 turns-away 0.1 queue 20ms",
        "roster 100ms",
        "trouble counter-split from 1s until 2s gatekeepers 2 part 0",
        "trouble worker-slow from 1s until 2s worker 1 count 2 times 3",
        "trouble counter-dies from 1s until 2s empty yes",
        "trouble clock-skew from 1s until 2s gatekeepers 2 by 1s behind yes",
        "trouble worker-leaks from 1s until 2s many 2",
        "trouble zone-dies from 1s until 2s zone 0",
        "trouble burst from 1s until 2s demand d times 2"
      })
  void read_eachArgumentOfTheFormat_isAccepted(String line, @TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("d.emu");
    Files.writeString(
        file,
        """
        class lookup aim 500ms deadline 2s repeat idempotent
        plan seat rate 20 store 40
        demand d class lookup plan seat rate 10 each 5 skew 1 spread 2 remaining 1s
        """
            + line
            + "\n");
    assertEquals(1, DeploymentFile.read(file).deployment().demands().size());
  }
}
