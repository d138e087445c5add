package fawndock.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.config.Plan;
import fawndock.policy.event.CallResult;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what a gateway forgets, and what it keeps, when the memory for quotas is short. */
class QuotaMemoryTest {
  private static final long SECOND_MICROS = PolicyHarness.SECOND_MICROS;
  private static final long UNLIMITED_BYTES = Long.MAX_VALUE / 2;

  /** Memory for some dozens of quotas. */
  private static final long SMALL_BYTES = 32 << 10;

  private static final int MIN_QUOTA_BYTES = 400;
  private static final int MAX_QUOTAS = (int) (SMALL_BYTES / MIN_QUOTA_BYTES);

  private static Plan rateAndCeilingAndConcurrencyPlan() {
    return new Plan("plan", 2, 12, 8, 1, 0, 1, 4, 12, 1);
  }

  private static List<Plan> plans() {
    return List.of(
        PolicyHarness.ratePlan(10, 20),
        PolicyHarness.ratePlan(1, 6),
        PolicyHarness.ratePlan(1, 30),
        PolicyHarness.ceilingPlan(2, 4),
        rateAndCeilingAndConcurrencyPlan());
  }

  private static double maxUnits(Plan plan, double seconds) {
    double byRate = plan.burstUnits() + plan.unitsPerSecond() * seconds;
    double byCeiling = plan.ceilingBurstUnits() + plan.ceilingUnitsPerSecond() * seconds;
    double rateLimit = plan.unitsPerSecond() > 0 ? byRate : Double.MAX_VALUE;
    double ceilingLimit = plan.ceilingUnitsPerSecond() > 0 ? byCeiling : Double.MAX_VALUE;
    return Math.min(rateLimit, ceilingLimit);
  }

  private static double rate(Plan plan) {
    return plan.unitsPerSecond() > 0 ? plan.unitsPerSecond() : plan.ceilingUnitsPerSecond();
  }

  /**
   * Plays a steady customer, who asks for half of its rate, and a greedy one, who asks for four
   * times its rate, beside new ones.
   */
  private static VirtualTimeGateway play(
      Plan plan, long maxQuotaBytes, int seconds, int newCustomersPerSecond) {
    VirtualTimeGateway gateway = new VirtualTimeGateway(plan, maxQuotaBytes);
    long endMicros = gateway.nowMicros() + seconds * SECOND_MICROS;
    long steadyMicros = (long) (2 * SECOND_MICROS / rate(plan));
    long greedyMicros = (long) (SECOND_MICROS / (4 * rate(plan)));
    long newMicros =
        newCustomersPerSecond == 0 ? Long.MAX_VALUE / 4 : SECOND_MICROS / newCustomersPerSecond;
    long nextSteady = gateway.nowMicros();
    long nextGreedy = gateway.nowMicros();
    long nextNew = gateway.nowMicros();
    for (int i = 0; gateway.nowMicros() < endMicros; i++) {
      if (gateway.nowMicros() >= nextSteady) {
        gateway.request("steady");
        nextSteady += steadyMicros;
      }
      if (gateway.nowMicros() >= nextGreedy) {
        gateway.request("greedy");
        nextGreedy += greedyMicros;
      }
      if (gateway.nowMicros() >= nextNew) {
        gateway.request("new" + i);
        nextNew += newMicros;
      }
      gateway.runUntil(Math.min(nextSteady, Math.min(nextGreedy, nextNew)));
    }
    gateway.runFor(5 * SECOND_MICROS);
    return gateway;
  }

  /** Guards against a table of customers that fills the memory. */
  @ParameterizedTest
  @MethodSource("plans")
  void newCustomers_stayWithinTheMemory(Plan plan) {
    VirtualTimeGateway gateway = new VirtualTimeGateway(plan, SMALL_BYTES);
    gateway.requestsOfNewCustomers(10_000, 10 * SECOND_MICROS);
    assertTrue(gateway.quotaCount() <= MAX_QUOTAS, gateway.quotaCount() + " quotas held");
  }

  /** Guards against evictions that let a customer use its plan several times over. */
  @ParameterizedTest
  @MethodSource("plans")
  void greedyCustomer_besideNewOnes_staysWithinItsPlan(Plan plan) {
    int seconds = 60;
    VirtualTimeGateway gateway = play(plan, SMALL_BYTES, seconds, 500);
    assertTrue(
        gateway.forwarded("greedy") <= maxUnits(plan, seconds),
        gateway.forwarded("greedy") + " of at most " + maxUnits(plan, seconds));
  }

  /** Guards against evictions that cost a customer within its plan its requests. */
  @ParameterizedTest
  @MethodSource("plans")
  void steadyCustomer_besideNewOnes_getsWhatItGetsAlone(Plan plan) {
    VirtualTimeGateway alone = play(plan, UNLIMITED_BYTES, 60, 0);
    VirtualTimeGateway besideNewOnes = play(plan, SMALL_BYTES, 60, 500);
    assertEquals(alone.forwarded("steady"), besideNewOnes.forwarded("steady"));
    assertEquals(alone.notServed("steady"), besideNewOnes.notServed("steady"));
  }

  /**
   * Guards against lost additions: a failed call's units are still to be sent, also if the customer
   * comes back meanwhile.
   */
  @Test
  void unitsThatAreNotSentYet_surviveNewCustomers() {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 30), SMALL_BYTES);
    gateway.counterResult = CallResult.SHED;
    gateway.request("customer");
    gateway.runFor(100_000);
    assertEquals(1, gateway.forwarded("customer"));
    assertEquals(0, gateway.countedUnits("customer"));
    gateway.counterResult = CallResult.OK;
    gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, SECOND_MICROS);
    gateway.counterResult = CallResult.SHED;
    gateway.request("customer");
    gateway.runFor(100_000);
    gateway.counterResult = CallResult.OK;
    gateway.runFor(20 * SECOND_MICROS);
    assertEquals(2, gateway.forwarded("customer"));
    assertEquals(2, gateway.countedUnits("customer"));
  }

  /**
   * Guards against lost settlements: a request in flight may still owe units, also if the customer
   * comes back meanwhile.
   */
  @Test
  void unitsThatAreSettledLater_surviveNewCustomers() {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 30), SMALL_BYTES);
    gateway.settledUnits = 4;
    gateway.attemptLatencyMicros = 2 * SECOND_MICROS;
    gateway.request("customer");
    gateway.runFor(10_000);
    gateway.attemptLatencyMicros = 1_000;
    gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, 3 * SECOND_MICROS / 2);
    gateway.attemptLatencyMicros = SECOND_MICROS / 2;
    gateway.request("customer");
    gateway.runFor(10 * SECOND_MICROS);
    assertEquals(2, gateway.forwarded("customer"));
    assertEquals(8, gateway.countedUnits("customer"));
  }

  /** Guards against lost withdrawals: a customer would pay for requests that were not sent. */
  @Test
  void unitsThatAreWithdrawnLater_surviveNewCustomers() {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 2), SMALL_BYTES);
    for (int i = 0; i < 10; i++) {
      gateway.request("customer");
    }
    gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, SECOND_MICROS / 10);
    gateway.runFor(SECOND_MICROS);
    assertEquals(gateway.forwarded("customer"), gateway.countedUnits("customer"));
  }

  /**
   * While all quotas are in use, a new customer is rejected rather than another one forgotten, and
   * known customers go on.
   */
  @Test
  void newCustomer_whileAllQuotasAreInUse_isRejected() {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 6), 1_200);
    gateway.attemptLatencyMicros = SECOND_MICROS;
    gateway.request("first");
    gateway.request("second");
    gateway.runFor(10_000);
    assertEquals(2, gateway.quotaCount());
    gateway.request("third");
    gateway.runFor(10_000);
    assertEquals(1, gateway.notServed("third"));
    gateway.request("first");
    gateway.runFor(2 * SECOND_MICROS);
    assertEquals(2, gateway.forwarded("first"));
    gateway.request("third");
    gateway.runFor(2 * SECOND_MICROS);
    assertEquals(1, gateway.forwarded("third"));
  }

  /** Guards against customers who are rejected for want of memory while the counter is away. */
  @ParameterizedTest
  @EnumSource(
      value = CallResult.class,
      names = {"CONNECT_FAILED", "SHED", "TIMEOUT"})
  void newCustomers_whileTheCounterFails_areServed(CallResult result) {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 30), SMALL_BYTES);
    gateway.counterResult = result;
    gateway.requestsOfNewCustomers(30_000, 60 * SECOND_MICROS);
    gateway.runFor(SECOND_MICROS);
    assertEquals(0, gateway.notServed.size(), gateway.notServed.size() + " were not served");
    assertTrue(gateway.quotaCount() <= MAX_QUOTAS, gateway.quotaCount() + " quotas held");
  }

  /**
   * Guards against a customer who uses its limit again as soon as it is forgotten, while the
   * counter sheds calls and only this instance knows of its use.
   */
  @Test
  void customerThatUsedItsLimit_whileTheCounterShedsCalls_isRemembered() {
    Plan plan = PolicyHarness.ratePlan(1, 30);
    VirtualTimeGateway gateway = new VirtualTimeGateway(plan, SMALL_BYTES);
    gateway.counterResult = CallResult.SHED;
    gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, SECOND_MICROS);
    int rounds = 8;
    for (int round = 0; round < rounds; round++) {
      for (int i = 0; i < 40; i++) {
        gateway.request("customer");
        gateway.runFor(1_000);
      }
      gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, SECOND_MICROS);
    }
    assertTrue(
        gateway.forwarded("customer") <= maxUnits(plan, rounds + 1),
        gateway.forwarded("customer") + " were forwarded");
  }

  /** Guards against a ceiling that starts anew whenever its customer was forgotten. */
  @Test
  void ceilingWithoutCounter_isHeldAcrossEvictions() {
    VirtualTimeGateway gateway =
        new VirtualTimeGateway(PolicyHarness.ceilingPlan(2, 20), SMALL_BYTES);
    gateway.counterResult = CallResult.CONNECT_FAILED;
    int rounds = 40;
    long startMicros = gateway.nowMicros();
    for (int round = 0; round < rounds; round++) {
      for (int i = 0; i < 10; i++) {
        gateway.request("customer");
        gateway.runFor(20_000);
      }
      gateway.requestsOfNewCustomers(5 * MAX_QUOTAS, 300_000);
    }
    double seconds = (gateway.nowMicros() - startMicros) / 1e6;
    assertTrue(
        gateway.forwarded("customer") <= 20 + 2 * seconds,
        gateway.forwarded("customer") + " in " + seconds + " s");
  }

  /** Guards against quotas that stay in use after their requests have ended. */
  @Test
  void quotas_areNotInUseOnceTheirRequestsHaveEnded() {
    VirtualTimeGateway gateway = new VirtualTimeGateway(PolicyHarness.ratePlan(1, 6), SMALL_BYTES);
    gateway.counterResult = CallResult.SHED;
    gateway.requestsOfNewCustomers(2_000, 2 * SECOND_MICROS);
    gateway.counterResult = CallResult.OK;
    gateway.runFor(30 * SECOND_MICROS);
    gateway.notServed.clear();
    for (int i = 0; i < 2 * MAX_QUOTAS; i++) {
      gateway.request("later" + i);
      gateway.runFor(50_000);
    }
    assertEquals(0, gateway.notServed.size(), gateway.notServed::toString);
  }
}
