package fawndock;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The borders between packages: decisions below, hosts above them, tools on top. */
@AnalyzeClasses(packages = "fawndock", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  private static final DescribedPredicate<JavaClass> DECISIONS =
      DescribedPredicate.describe(
          "decisions", c -> c.getPackageName().matches("fawndock\\.policy(\\..*)?"));

  @ArchTest
  static final ArchRule DECISIONS_ARE_PURE =
      classes()
          .that(DECISIONS)
          .should()
          .onlyDependOnClassesThat(
              DescribedPredicate.describe(
                  "are decisions or plain values",
                  c ->
                      DECISIONS.test(c)
                          || c.getPackageName().equals("java.util")
                          || c.getPackageName().equals("java.util.function")
                          || c.getPackageName().equals("java.util.stream")
                          || (c.getPackageName().equals("java.lang")
                              && !c.getSimpleName()
                                  .matches("Thread|Process|ProcessBuilder|Runtime|System"))
                          || c.getPackageName().equals("java.lang.runtime")
                          || c.getPackageName().equals("java.lang.invoke")
                          || c.isPrimitive()
                          || c.isArray()));

  /** Read from any package, the arrows of docs/architecture.md never lead back to it. */
  @ArchTest
  static final ArchRule PACKAGES_ARE_FREE_OF_CYCLES =
      slices().matching("fawndock.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule NO_CLOCK_OF_THEIR_OWN =
      noClasses()
          .that(DECISIONS)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule COUNTER_CORE_IS_PURE =
      classes()
          .that()
          .resideInAPackage("fawndock.counter.storage..")
          .should()
          .onlyDependOnClassesThat(
              DescribedPredicate.describe(
                  "do no I/O, keep no time and start no thread",
                  c ->
                      c.getPackageName()
                              .matches(
                                  "fawndock\\.counter\\.storage|java\\.util(\\.(function|stream|zip))?"
                                      + "|java\\.math|java\\.nio|java\\.nio\\.charset|java\\.lang\\.(runtime|invoke)"
                                      + "|com\\.dynatrace\\.hash4j\\.hashing")
                          || c.getName().matches("java\\.io\\.(IOException|Closeable)")
                          || (c.getPackageName().equals("java.lang")
                              && !c.getSimpleName()
                                  .matches("Thread|Process|ProcessBuilder|Runtime"))
                          || c.isPrimitive()
                          || c.isArray()));

  @ArchTest
  static final ArchRule COUNTER_CORE_HAS_NO_CLOCK =
      noClasses()
          .that()
          .resideInAPackage("fawndock.counter.storage..")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule COUNTER_REPLICA_IS_PURE =
      classes()
          .that()
          .resideInAPackage("fawndock.counter.replication..")
          .should()
          .onlyDependOnClassesThat(
              DescribedPredicate.describe(
                  "do no I/O, keep no time and start no thread",
                  c ->
                      c.getPackageName()
                              .matches(
                                  "fawndock\\.counter\\.(storage|replication)|java\\.util(\\.(function|regex|stream))?"
                                      + "|java\\.nio(\\.charset)?|java\\.lang\\.(runtime|invoke)")
                          || (c.getPackageName().equals("java.lang")
                              && !c.getSimpleName()
                                  .matches("Thread|Process|ProcessBuilder|Runtime|System"))
                          || c.isPrimitive()
                          || c.isArray()));

  @ArchTest
  static final ArchRule COUNTER_KNOWS_NO_GATEKEEPER =
      noClasses()
          .that()
          .resideInAPackage("fawndock.counter..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("fawndock", "fawndock.policy..", "fawndock.gateway..");

  @ArchTest
  static final ArchRule JUDGE_AND_MEASURES_ARE_PURE =
      classes()
          .that()
          .resideInAnyPackage("fawndock.conformance..", "fawndock.measurement..")
          .should()
          .onlyDependOnClassesThat(
              DescribedPredicate.describe(
                  "are traces, decisions' types or plain values",
                  c ->
                      c.getPackageName()
                              .matches(
                                  "fawndock\\.conformance|fawndock\\.measurement|org\\.HdrHistogram|java\\.util(\\.(function|stream))?"
                                      + "|java\\.lang(\\.(runtime|invoke))?")
                          || c.getPackageName().matches("fawndock\\.policy\\.(event|action|config)")
                          || c.isPrimitive()
                          || c.isArray()));

  @ArchTest
  static final ArchRule EMULATOR_OPENS_NOTHING =
      noClasses()
          .that()
          .resideInAPackage("fawndock.simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io..",
              "java.net..",
              "java.util.concurrent..",
              "fawndock.scenario..",
              "fawndock.gateway..");

  @ArchTest
  static final ArchRule RATE_LIMIT_STANDS_ON_THE_GATEWAY_ALONE =
      noClasses()
          .that()
          .resideInAnyPackage(
              "fawndock.gateway..",
              "fawndock.counter..",
              "fawndock.settings..",
              "fawndock.conformance..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("fawndock.ratelimit..");

  @ArchTest
  static final ArchRule MAPPING_IS_PURE =
      noClasses()
          .that()
          .haveSimpleName("DescriptorMatcher")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io..", "com.google..", "fawndock.gateway..");

  @ArchTest
  static final ArchRule STAND_INS_ARE_FOR_TOOLS =
      noClasses()
          .that()
          .resideOutsideOfPackages(
              "fawndock.fake..",
              "fawndock.scenario..",
              "fawndock.benchmark..",
              "fawndock.loadgen..",
              "fawndock.simulation..",
              "fawndock.measurement..",
              "fawndock.experiment..",
              "fawndock.report..",
              "fawndock.calibration..",
              "fawndock.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("fawndock.fake..");

  @ArchTest
  static final ArchRule STAND_INS_KNOW_NO_GATEKEEPER =
      noClasses()
          .that()
          .resideInAPackage("fawndock.fake..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "fawndock", "fawndock.policy..", "fawndock.gateway..", "fawndock.scenario..");

  @ArchTest
  static final ArchRule HOSTS_KNOW_NO_TOOLS =
      noClasses()
          .that()
          .resideInAnyPackage("fawndock.gateway..", "fawndock.counter..", "fawndock.settings..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "fawndock.cli..",
              "fawndock.scenario..",
              "fawndock.benchmark..",
              "fawndock.loadgen..",
              "fawndock.simulation..",
              "fawndock.measurement..",
              "fawndock.experiment..",
              "fawndock.report..",
              "fawndock.calibration..",
              "fawndock.simulatoradapter..");

  @ArchTest
  static final ArchRule HOST_KNOWS_NO_PROTOCOL =
      noClasses()
          .that()
          .resideInAPackage("fawndock.runtime..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx.core.http..",
              "io.vertx.core.net..",
              "io.netty..",
              "fawndock.gateway..",
              "fawndock.platform..",
              "fawndock.resp..");

  @ArchTest
  static final ArchRule PLATFORM_STANDS_ON_THE_HOST_ALONE =
      noClasses()
          .that()
          .resideInAPackage("fawndock.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "fawndock.gateway..",
              "fawndock.counter..",
              "fawndock.ratelimit..",
              "fawndock.cli..",
              "fawndock.scenario..",
              "fawndock.benchmark..",
              "fawndock.loadgen..",
              "fawndock.simulation..",
              "fawndock.measurement..",
              "fawndock.experiment..",
              "fawndock.report..",
              "fawndock.calibration..",
              "fawndock.simulatoradapter..",
              "io.vertx.core.http..");

  @ArchTest
  static final ArchRule CODEC_OPENS_NOTHING =
      noClasses()
          .that()
          .resideInAPackage("fawndock.resp..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty.channel..",
              "io.vertx..",
              "java.net..",
              "fawndock",
              "fawndock.policy..",
              "fawndock.runtime..",
              "fawndock.counter..",
              "fawndock.platform..");

  @ArchTest
  static final ArchRule SETTINGS_OPEN_NOTHING =
      noClasses()
          .that()
          .resideInAPackage("fawndock.settings..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io..", "java.net..");

  @ArchTest
  static final ArchRule SETTINGS_KNOW_THE_POLICYS_CONFIGURATION_ALONE =
      noClasses()
          .that()
          .resideInAPackage("fawndock.settings..")
          .should()
          .dependOnClassesThat(
              DescribedPredicate.describe(
                  "are in another package of the program than policy.config",
                  c ->
                      c.getPackageName().matches("fawndock(\\..*)?")
                          && !c.getPackageName()
                              .matches("fawndock\\.(settings|policy\\.config)(\\..*)?")));

  @ArchTest
  static final ArchRule BENCHLINK_IS_LEAN =
      noClasses()
          .that()
          .resideInAPackage("fawndock.simulatoradapter..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io..",
              "picocli..",
              "org.slf4j..",
              "ch.qos..",
              "fawndock.gateway..",
              "fawndock.counter..",
              "fawndock.settings..",
              "com.fasterxml.jackson.databind..");
}
