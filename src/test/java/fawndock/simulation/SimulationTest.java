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
  private static final ClientBehavior CLIENT_WITHOUT_RETRIES =
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
                CLIENT_WITHOUT_RETRIES),
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
                CLIENT_WITHOUT_RETRIES)),
        seconds,
        seed);
  }

  private static SimulationResult run(Simulation simulation) {
    return simulation.run();
  }

  @Test
  void runUntil_eventsAtTheSameTime_runInSchedulingOrder() {
    EventQueue eventQueue = new EventQueue();
    List<Integer> executed = new ArrayList<>();
    eventQueue.scheduleAt(
        5,
        () -> {
          executed.add(1);
          eventQueue.scheduleAt(5, () -> executed.add(4));
          eventQueue.scheduleAt(3, () -> executed.add(5));
        });
    eventQueue.scheduleAt(5, () -> executed.add(2));
    eventQueue.scheduleAt(4, () -> executed.add(0));
    eventQueue.scheduleAt(5, () -> executed.add(3));
    eventQueue.runUntil(5);
    assertEquals(List.of(0, 1, 2, 3, 4, 5), executed);
    assertEquals(5, eventQueue.nowMicros());
  }

  @Test
  void run_sameSeed_givesSameResultWithinPlans() {
    SimulationResult firstResult =
        run(new Simulation(deployment(1, 30), DefaultGatewayPolicy::new));
    SimulationResult repeatedResult =
        run(new Simulation(deployment(1, 30), DefaultGatewayPolicy::new));
    assertEquals(firstResult.figures(), repeatedResult.figures());
    firstResult
        .series()
        .forEach(
            (name, values) -> assertArrayEquals(values, repeatedResult.series().get(name), name));
    assertNotEquals(
        firstResult.responsesByStatus(),
        run(new Simulation(deployment(2, 30), DefaultGatewayPolicy::new)).responsesByStatus());
    assertTrue(
        firstResult.conformance().isConformant(),
        firstResult.conformance().violations().toString());
    assertTrue(
        firstResult.figures().get("use.over") > 0.9 && firstResult.figures().get("use.over") < 1.1,
        "each of 4 customers sends 30 requests/s, "
            + "its plan allows 20: "
            + firstResult.figures());
    assertTrue(
        firstResult.figures().get("kept.under") > 0.95,
        "each customer sends 10 requests/s, its plan allows 20: " + firstResult.figures());
    assertTrue(
        firstResult.figures().get("refused-within-plan-a-try") < 0.05,
        firstResult.figures().toString());
  }

  @Test
  void run_withFaults_changesResultAndStaysConformant() {
    long baselineSuccesses =
        run(new Simulation(deployment(1, 20), DefaultGatewayPolicy::new))
            .responsesByStatus()
            .get(200);
    Simulation withSilentCounter = new Simulation(deployment(1, 20), DefaultGatewayPolicy::new);
    Faults.counterUnreachable(withSilentCounter, 5, 15);
    SimulationResult result = run(withSilentCounter);
    assertTrue(
        result.responsesByStatus().get(200) > baselineSuccesses + 200,
        "requests are admitted while the counter is silent: " + result.responsesByStatus());
    assertTrue(result.conformance().isConformant(), result.conformance().violations().toString());
    Simulation withManyFaults = new Simulation(deployment(1, 20), DefaultGatewayPolicy::new);
    Faults.backendRestart(withManyFaults, 3, 8, "w0");
    Faults.backendUnresponsive(withManyFaults, 6, 12, "w1");
    Faults.backendSlow(withManyFaults, 6, 12, "w2", 10);
    Faults.backendLosesResponses(withManyFaults, 2, 18, "w3", 0.3);
    Faults.counterRestart(withManyFaults, 9, 11, true);
    Faults.counterPartitioned(withManyFaults, 13, 16, 3, -1);
    Faults.networkSlow(withManyFaults, 14, 15, 5);
    SimulationResult resultWithManyFaults = run(withManyFaults);
    assertTrue(
        resultWithManyFaults.conformance().isConformant(),
        resultWithManyFaults.conformance().violations().toString());
    assertTrue(
        resultWithManyFaults.responsesByStatus().get(200) > 0.8 * baselineSuccesses,
        resultWithManyFaults.responsesByStatus() + " compared with " + baselineSuccesses);
  }

  /**
   * The conformance check reports a policy that never responds and one that starts two attempts for
   * a request that allows only one.
   */
  @Test
  void run_withFaultyPolicy_reportsViolations() {
    Function<PolicyConfig, GatewayPolicy> silentPolicy = config -> (now, event) -> List.of();
    assertTrue(
        run(new Simulation(deployment(1, 2), silentPolicy)).conformance().unansweredCount() > 100);
    Function<PolicyConfig, GatewayPolicy> duplicatingPolicy =
        config ->
            new GatewayPolicy() {
              @Override
              public List<PolicyAction> onEvent(long now, PolicyEvent event) {
                return event instanceof RequestArrived request
                    ? List.of(
                        new StartAttempt(request.requestId(), "w0", 0),
                        new StartAttempt(request.requestId(), "w1", 0))
                    : List.of();
              }
            };
    Deployment singleAttemptDeployment = deployment(1, 2);
    RequestClass singleAttemptClass =
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
    singleAttemptDeployment =
        new Deployment(
            6,
            8,
            1,
            singleAttemptDeployment.backend(),
            0,
            singleAttemptDeployment.network(),
            singleAttemptDeployment.counter(),
            0,
            List.of(singleAttemptClass),
            singleAttemptDeployment.plans(),
            singleAttemptDeployment.limits(),
            singleAttemptDeployment.rules(),
            singleAttemptDeployment.demands(),
            2,
            1);
    assertTrue(
        run(new Simulation(singleAttemptDeployment, duplicatingPolicy))
                .conformance()
                .violations()
                .size()
            > 5);
    Function<PolicyConfig, GatewayPolicy> rejectingPolicy =
        config ->
            (now, event) ->
                event instanceof RequestArrived request
                    ? List.of(new RejectRequest(request.requestId(), 1_000_000))
                    : List.of();
    assertEquals(
        java.util.Set.of(429),
        run(new Simulation(deployment(1, 2), rejectingPolicy)).responsesByStatus().keySet());
  }

  /**
   * Each kind of fault changes a figure in the expected direction, compared with a run without the
   * fault, and the run stays conformant.
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
      String faultLine, String figure, String direction, double factor, @TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("d.emu");
    String settingsWithoutFault =
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
    Files.writeString(file, settingsWithoutFault);
    double baselineValue =
        run(DeploymentFile.read(file).createSimulation(DefaultGatewayPolicy::new))
            .figures()
            .get(figure);
    Files.writeString(file, settingsWithoutFault + "trouble " + faultLine + "\n");
    SimulationResult faultyResult =
        run(DeploymentFile.read(file).createSimulation(DefaultGatewayPolicy::new));
    double faultyValue = faultyResult.figures().get(figure);
    assertTrue(
        direction.equals("more")
            ? faultyValue > factor * baselineValue
            : faultyValue < factor * baselineValue,
        faultyValue + " compared with " + baselineValue);
    assertTrue(
        faultyResult.conformance().isConformant(),
        faultyResult.conformance().violations().toString());
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
    DeploymentFile.ParsedDeployment parsed = DeploymentFile.read(file);
    SimulationResult baselineResult =
        run(new Simulation(parsed.deployment(), DefaultGatewayPolicy::new));
    Simulation faultyRun = new Simulation(parsed.deployment(), DefaultGatewayPolicy::new);
    parsed.faults().forEach(fault -> fault.accept(faultyRun));
    assertTrue(
        run(faultyRun).responsesByStatus().get(200)
            > baselineResult.responsesByStatus().get(200) + 200);
    Files.writeString(
        file,
        "let rate 20\nwhen rate 20 demand x class a plan b\ntrouble rain from 3s until 2s\nworkers $n\n"
            + "when rate 21 nonsense\n");
    String message =
        assertThrows(ConfigurationException.class, () -> DeploymentFile.read(file)).getMessage();
    for (String expectedError :
        List.of(
            ":2: demand x has no rate",
            ":2: there is no class 'a'",
            ":2: there is no plan 'b'",
            ":3: trouble rain ends before",
            ":3: trouble 'rain'",
            ":4: there is no variable '$n'")) {
      assertTrue(message.contains(expectedError), expectedError + " is missing in " + message);
    }
  }

  /**
   * The keywords of the file format are an interface for users; they stay as names in the code
   * change.
   */
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

  /** Each argument of the file format is accepted in its line. */
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
