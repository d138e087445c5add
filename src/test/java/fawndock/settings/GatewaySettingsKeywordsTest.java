package fawndock.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Golden list of the keywords, arguments and line forms that a gateway's settings file accepts. It
 * detects accidental changes of the file format.
 */
class GatewaySettingsKeywordsTest {
  private static final String KEYWORDS =
      "listen instances gatekeeper seed zone class plan key route server limits rules counter"
          + " counter-node counter-limits roster peer peer-listen headers sizes pool stop"
          + " max-connections log rate-limit descriptor include";

  /** Incomplete lines, each with the form that the error message must name as expected. */
  private static final List<List<String>> FORMS =
      List.of(
          List.of("listen", "listen HOST:PORT"),
          List.of("instances", "instances NUMBER"),
          List.of("gatekeeper", "gatekeeper NUMBER of FLEET"),
          List.of("seed", "seed NUMBER"),
          List.of("zone", "zone NAME"),
          List.of(
              "class",
              "class NAME aim TIME deadline TIME [worth N] [late-worth N] [repeat WORD] "
                  + "[group WORD] [window TIME] [streamed yes|no] [aim-stretch N]"),
          List.of(
              "plan",
              "plan NAME [rate N] [store N] [open N] [pays N] [over-worth N] [over-cost N] "
                  + "[ceiling-rate N] [ceiling-burst N] [ceiling-slack N]"),
          List.of("key", "key KEY customer NAME plan NAME [first NUMBER spread NUMBER]"),
          List.of("route", "route METHOD PATH CLASS"),
          List.of("server", "server ID HOST:PORT [zone NAME] [cell NUMBER] [weight N]"),
          List.of(
              "limits x",
              "limits [attempts N] [open N] [retry-after TIME] [duplicates yes|no] "
                  + "[cancel yes|no] [probes yes|no] [peers yes|no]"),
          List.of(
              "rules x",
              "rules [answer-grace TIME] [drain-grace TIME] [cold-share N] [cold-time TIME] "
                  + "[fall-multiple N] [fall-time TIME] [ask-within TIME]"),
          List.of("counter", "counter HOST:PORT [HOST:PORT ...]"),
          List.of("counter-node", "counter-node NAME HOST:PORT"),
          List.of(
              "counter-limits x", "counter-limits [timeout TIME] [calls NUMBER] [settled yes|no]"),
          List.of("roster", "roster HOST:PORT [silence TIME] [must-ask yes|no]"),
          List.of("peer", "peer NUMBER HOST:PORT"),
          List.of("peer-listen", "peer-listen HOST:PORT [intake MESSAGES-A-SECOND]"),
          List.of(
              "headers x",
              "headers [key NAME] [deadline NAME] [attempt NAME] [units NAME most NUMBER]"),
          List.of("sizes x", "sizes [body SIZE] [answer SIZE]"),
          List.of("pool x", "pool [connections NUMBER] [streams NUMBER] [connect TIME]"),
          List.of("stop", "stop TIME"),
          List.of("max-connections", "max-connections NUMBER"),
          List.of("log", "log text|json [level error|warn|info|debug]"),
          List.of("rate-limit", "rate-limit HOST:PORT"),
          List.of(
              "descriptor",
              "descriptor DOMAIN KEY=VALUE,KEY=* customer NAME|{KEY} plan NAME class NAME"
                  + " [units N]"),
          List.of("include", "include FILE"));

  private static final String EVERY_ARGUMENT =
      """
      listen 127.0.0.1:8080
      instances 2
      gatekeeper 1 of 4
      seed 7
      zone here
      class c aim 400ms deadline 2s worth 3 late-worth 0.5 repeat deduplicated group zone window 5s streamed yes aim-stretch 1.5
      class i aim 400ms deadline 2s repeat idempotent group all
      class m aim 400ms deadline 2s repeat at-most-once group cell
      plan p rate 2 store 8 open 3 pays 1.5 over-worth 0.2 over-cost 0.3 ceiling-rate 4 ceiling-burst 5 ceiling-slack 6
      key k customer one plan p first 1 spread 2
      route PUT /put c
      server w 127.0.0.1:1 zone there cell 9 weight 2.5
      limits attempts 2 open 20 retry-after 3s duplicates yes cancel no probes yes peers no
      rules answer-grace 11ms drain-grace 12ms cold-share 0.13 cold-time 14ms fall-multiple 1.5 fall-time 16ms ask-within 17ms
      counter 127.0.0.1:2 127.0.0.1:3
      counter-limits timeout 18ms calls 19 settled yes
      roster 127.0.0.1:4 silence 200ms must-ask yes
      peer 3 127.0.0.1:5
      peer-listen 127.0.0.1:6 intake 21
      headers key x-key deadline x-deadline attempt x-attempt units x-units most 22
      sizes body 1KiB answer 2KiB
      pool connections 23 streams 24 connect 25ms
      stop 26ms
      max-connections 27
      log json level debug
      rate-limit 127.0.0.1:7
      descriptor d a=*,b=c customer {a} plan p class c units 28
      """;

  @TempDir Path directory;

  private GatewaySettings read(String text) throws Exception {
    return GatewaySettingsFile.read(Files.writeString(directory.resolve("golden.conf"), text));
  }

  private String error(String text) {
    return assertThrows(ConfigurationException.class, () -> read(text)).getMessage();
  }

  @Test
  void keywords_areThoseOfTheManual() {
    String error = error("no-such-keyword\n");
    assertTrue(
        error.contains("golden.conf:1: unknown keyword 'no-such-keyword', expected one of "),
        error);
    assertTrue(error.lines().anyMatch(line -> line.endsWith("expected one of " + KEYWORDS)), error);
  }

  @Test
  void incompleteLine_namesFileLineAndExpectedForm() {
    for (List<String> form : FORMS) {
      String error = error(form.get(0) + "\n");
      assertTrue(
          error
              .lines()
              .anyMatch(
                  line ->
                      line.contains("golden.conf:1: ")
                          && line.endsWith(", expected " + form.get(1))),
          error);
    }
    assertEquals(
        List.of(KEYWORDS.split(" ", 0)),
        FORMS.stream().map(form -> form.get(0).replace(" x", "")).toList());
  }

  @Test
  void everyArgument_isRead() throws Exception {
    GatewaySettings settings = read(EVERY_ARGUMENT);
    assertEquals(new Address("127.0.0.1", 8080), settings.listen());
    assertEquals(
        List.of(2, 1, 4, 7L, "here"),
        List.of(
            settings.instances(),
            settings.firstInstance(),
            settings.fleetSize(),
            settings.seed(),
            settings.zone()));
    var requestClass = settings.classes().get(0);
    assertEquals(
        List.of("c", 400_000L, 1.5, 2_000_000L, 3.0, 0.5),
        List.of(
            requestClass.name(),
            requestClass.latencyObjectiveMicros(),
            requestClass.latencyObjectiveStretch(),
            requestClass.deadlineMicros(),
            requestClass.priorityWeight(),
            requestClass.latePriorityWeight()));
    assertEquals(
        List.of(Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, 5_000_000L, true),
        List.of(
            requestClass.idempotency(),
            requestClass.deduplicationScope(),
            requestClass.deduplicationWindowMicros(),
            requestClass.isStreamed()));
    assertEquals(
        List.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
        List.of(
            settings.classes().get(1).idempotency(),
            settings.classes().get(1).deduplicationScope()));
    assertEquals(
        List.of(Idempotency.AT_MOST_ONCE, DeduplicationScope.CELL),
        List.of(
            settings.classes().get(2).idempotency(),
            settings.classes().get(2).deduplicationScope()));
    assertEquals(
        new fawndock.policy.config.Plan("p", 2, 8, 3, 1.5, 0.2, 0.3, 4, 5, 6),
        settings.plans().get(0));
    assertEquals(new GatewaySettings.ApiKey("one", "p", 1, 2), settings.apiKeys().get("k"));
    assertEquals(new GatewaySettings.Route("PUT", "/put", "c"), settings.routes().get(0));
    assertEquals(
        new fawndock.policy.config.GatewayLimits(2, 20, 3_000_000, true, false, true, false, true),
        settings.limits());
    assertEquals(
        new fawndock.policy.config.ServiceRules(11_000, 12_000, 0.13, 14_000, 1.5, 16_000, 17_000),
        settings.rules());
    assertEquals(
        new GatewaySettings.CounterService(
            List.of(new Address("127.0.0.1", 2), new Address("127.0.0.1", 3)),
            java.util.Map.of(),
            18_000,
            true,
            19),
        settings.counter());
    assertEquals(
        new GatewaySettings.EndpointDiscovery(
            new Address("127.0.0.1", 4),
            200_000,
            true,
            List.of(
                new GatewaySettings.StaticEndpoint(
                    "w", new Address("127.0.0.1", 1), "there", 9, 2.5))),
        settings.discovery());
    assertEquals(
        new GatewaySettings.Peers(
            new Address("127.0.0.1", 6), java.util.Map.of(3, new Address("127.0.0.1", 5)), 21),
        settings.peers());
    assertEquals(
        new GatewaySettings.Http(
            "x-key",
            "x-deadline",
            "x-attempt",
            "x-units",
            22,
            1_024,
            2_048,
            23,
            24,
            25_000,
            26_000,
            27),
        settings.http());
    assertEquals(new LogSettings(true, "debug"), settings.log());
    assertEquals(
        new GatewaySettings.RateLimit(
            new Address("127.0.0.1", 7),
            List.of(
                new GatewaySettings.Descriptor(
                    "d",
                    List.of(java.util.Map.entry("a", "*"), java.util.Map.entry("b", "c")),
                    "{a}",
                    "p",
                    "c",
                    28))),
        settings.rateLimit());
  }

  @Test
  void counterNodeLines_areReadByName() throws Exception {
    GatewaySettings settings =
        read(
            EVERY_ARGUMENT.replace(
                "counter 127.0.0.1:2 127.0.0.1:3",
                "counter-node n1 127.0.0.1:2\ncounter-node n2 127.0.0.1:3"));
    assertEquals(
        java.util.Map.of("n1", new Address("127.0.0.1", 2), "n2", new Address("127.0.0.1", 3)),
        settings.counter().clusterNodes());
  }
}
