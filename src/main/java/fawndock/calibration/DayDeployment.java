package fawndock.calibration;

import fawndock.policy.config.Idempotency;
import fawndock.scenario.DayFile;
import fawndock.scenario.DayFile.DayFault;
import fawndock.scenario.DayFile.DayPlan;
import fawndock.scenario.DayFile.DayRequestClass;
import java.util.Locale;

/**
 * Converts a day file of the bench into a deployment file for the simulation. A fault that the
 * simulation does not model becomes a comment in the deployment file, so that the difference
 * between the two stays visible.
 */
public final class DayDeployment {
  private static final double OVER_QUOTA_FACTOR = 3;
  private static final double AT_QUOTA_FACTOR = 0.95;
  private final DayFile day;
  private final StringBuilder deploymentText = new StringBuilder();

  private DayDeployment(DayFile day) {
    this.day = day;
  }

  /** Returns the text of a deployment file for a day. */
  public static String of(DayFile day) {
    return new DayDeployment(day).appendDeployment();
  }

  private void appendLine(String format, Object... values) {
    deploymentText.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private String appendDeployment() {
    double meanWorkMicros =
        day.requestClasses().stream()
                .mapToDouble(requestClass -> requestClass.share() * requestClass.workMicros())
                .sum()
            / day.requestClasses().stream().mapToDouble(DayRequestClass::share).sum();
    appendLine(
        "# %s, described to the emulator: sizes, plans, load and troubles are the day's, work lies evenly about its mean",
        day.name());
    appendLine("gatekeepers %d", day.gatewayCount());
    appendLine(
        "workers %d cores %d work %.0fus queue %d cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.backendCount(),
        day.backend().cores(),
        meanWorkMicros,
        day.backend().queueCapacity(),
        day.backend().slowStartShare(),
        day.backend().slowStartMicros(),
        day.collapseMultiple(),
        day.collapseWindowMicros());
    appendLine(
        "network way %.0fus more %.0fus",
        Math.max(1, day.networkDelayMicros()), day.networkDelayMicros() / 4);
    appendLine(
        "counter rate %.1f wait %.0fus parts %d queue %.0fus",
        day.counter().callsPerSecond(),
        day.counter().timeoutMicros(),
        day.counter().partitionCount(),
        day.counter().maxQueueMicros());
    appendLine("roster %.0fus", day.discoveryDelayMicros());
    appendLine("for %.3fs", day.seconds());
    for (DayRequestClass requestClass : day.requestClasses()) {
      appendLine(
          "class %s aim %dus deadline %dus repeat %s%s",
          requestClass.name(),
          requestClass.latencyObjectiveMicros(),
          requestClass.deadlineMicros(),
          requestClass.idempotency().name().toLowerCase(Locale.ROOT).replace('_', '-'),
          requestClass.deduplicationWindowMicros() > 0
                  && requestClass.idempotency() == Idempotency.DEDUPLICATED
              ? " group all window " + requestClass.deduplicationWindowMicros() + "us"
              : "");
    }
    day.plans()
        .forEach(
            plan ->
                appendLine(
                    plan.unitsPerSecond() > 0
                        ? "plan %s rate %.4f store %.3f pays %.2f over-cost %.2f"
                        : "plan %s rate 0 pays %4$.2f",
                    plan.name(),
                    plan.unitsPerSecond(),
                    Math.max(1, plan.burstUnits()),
                    plan.priorityWeight(),
                    plan.overQuotaCost()));
    appendLine("limits attempts 4 open 5000");
    appendLine(
        "rules answer-grace 10ms drain-grace %.0fus cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus",
        day.drainGraceMicros(),
        day.backend().slowStartShare(),
        day.backend().slowStartMicros(),
        day.collapseMultiple(),
        day.collapseWindowMicros());
    day.plans().forEach(this::appendDemands);
    day.faults().forEach(this::appendFault);
    return deploymentText.toString();
  }

  /**
   * Appends the demands of a plan's customers: some send far more than their plan allows, some
   * nearly as much, and the others a part of it.
   */
  private void appendDemands(DayPlan plan) {
    double rate = plan.unitsPerSecond() > 0 ? plan.unitsPerSecond() : 5;
    int overQuotaCustomers = (int) Math.round(day.overQuotaShare() * plan.customerCount());
    int atQuotaCustomers = (int) Math.round(day.atQuotaShare() * plan.customerCount());
    appendDemand(plan, "heavy", overQuotaCustomers, OVER_QUOTA_FACTOR * rate);
    appendDemand(plan, "full", atQuotaCustomers, AT_QUOTA_FACTOR * rate);
    appendDemand(
        plan,
        "calm",
        plan.customerCount() - overQuotaCustomers - atQuotaCustomers,
        day.belowQuotaDemand() * rate);
  }

  private void appendDemand(
      DayPlan plan, String demandLevel, int customers, double unitsPerSecond) {
    for (DayRequestClass requestClass :
        customers <= 0 ? java.util.List.<DayRequestClass>of() : day.requestClasses()) {
      double share =
          requestClass.share()
              / day.requestClasses().stream().mapToDouble(DayRequestClass::share).sum();
      appendLine(
          "demand %s-%s-%s class %s plan %s customers %d rate %.4f spread %d remaining %dus give-up %dus retry after wait 300ms "
              + "tries %d",
          plan.name(),
          demandLevel,
          requestClass.name(),
          requestClass.name(),
          plan.name(),
          customers,
          Math.max(0.001, share * customers * unitsPerSecond),
          plan.gatewaysPerCustomer(),
          requestClass.deadlineMicros(),
          requestClass.deadlineMicros() + 1_000_000,
          1 + Math.min(3, day.retries()));
    }
  }

  private void appendFault(DayFault fault) {
    double untilSecond = Math.max(fault.atSecond() + 0.001, fault.atSecond() + fault.seconds());
    String timeWindow =
        String.format(Locale.ROOT, "from %.3fs until %.3fs", fault.atSecond(), untilSecond);
    int backendCount =
        (int)
            Math.max(
                1,
                Math.min(
                    day.backendCount(), Math.round(fault.backendShare() * day.backendCount())));
    boolean losesState = fault.extra() > 0.5 || fault.mode().contains("empty");
    switch (fault.kind()) {
      case "slow", "ageing" ->
          appendLine(
              "trouble worker-slow %s count %d times %.3f",
              timeWindow, backendCount, Math.max(1, fault.size()));
      case "shared_slow" ->
          appendLine(
              "trouble worker-slow %s count %d times %.3f",
              timeWindow, day.backendCount(), Math.max(1, fault.size()));
      case "answer_lost" ->
          appendLine(
              "trouble worker-loses-answers %s count %d share %.3f",
              timeWindow, backendCount, Math.min(1, fault.size()));
      case "vanish" -> appendLine("trouble worker-dies %s count %d", timeWindow, backendCount);
      case "burst", "tenant_burst" ->
          appendLine("trouble burst %s times %.3f", timeWindow, Math.max(1, fault.size()));
      case "give_up" ->
          appendLine("trouble give-up %s share %.3f", timeWindow, Math.min(0.5, fault.size()));
      case "retry_abuse" -> appendLine("trouble retry-storm %s many 8", timeWindow);
      case "origin_slow" ->
          appendLine("trouble counter-slow %s times %.3f", timeWindow, Math.max(1, fault.size()));
      case "flush" -> appendLine("trouble counter-loses %s", timeWindow);
      case "counter_down" ->
          appendLine(
              fault.mode().contains("refus") || losesState
                  ? "trouble counter-dies %s empty " + (losesState ? "yes" : "no")
                  : "trouble counter-silent %s",
              timeWindow);
      case "deploy" ->
          appendLine("trouble deploy %s many %d", timeWindow, Math.max(1, day.backendCount() / 8));
      case "shrink" ->
          appendLine(
              "trouble worker-drains %s count %d", timeWindow, Math.max(1, day.backendCount() / 3));
      default -> appendLine("# trouble %s %s: no such kind here", fault.kind(), timeWindow);
    }
  }
}
