package fawndock.platformconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares the keys of the settings object with a golden list and checks which component each key
 * sets.
 */
class SettingsReaderTest {
  @Test
  void keysMatchTheDocumentedKeys() throws Exception {
    assertEquals(
        StringConstants.sorted(
            "me peers-total round-us locality registry-mode classes packages caps rules extra"
                + " automatic subscribe"
                + " max-attempts max-open max-retry-after-us may-duplicate cancel probes peers"
                + " retry-after"
                + " grace-to-answer-us drain-grace-us cold-share cold-us fall-multiple fall-us"
                + " ask-within-us"
                + " counter count-wait-us trued-up"
                + " name"
                + " aim-us aim-stretch deadline-us worth late-worth idempotency group window-us"
                + " streaming"
                + " rate store-size concurrency pays extra-worth over-cost hard-rate ceiling-burst"
                + " tolerance"),
        StringConstants.of(SettingsKeys.class, ""));
  }

  @Test
  void everyKeyIsReadIntoItsOwnComponent() throws Exception {
    String text =
        """
        {"me":1,"peers-total":2,"round-us":3,"locality":"z","registry-mode":"subscribe",
        "classes":[{"name":"c","aim-us":4,"aim-stretch":5,"deadline-us":6,"worth":7,"late-worth":8,
        "idempotency":"deduplicated","group":"zone","window-us":9,"streaming":true}],
        "packages":[{"name":"p","rate":10,"store-size":11,"concurrency":12,"pays":13,
        "extra-worth":14,"over-cost":15,"hard-rate":16,"ceiling-burst":17,"tolerance":18}],
        "caps":{"max-attempts":19,"max-open":20,"max-retry-after-us":21,"may-duplicate":true,
        "cancel":false,"probes":true,"peers":false,"retry-after":true},
        "rules":{"grace-to-answer-us":22,"drain-grace-us":23,"cold-share":24,"cold-us":25,
        "fall-multiple":26,"fall-us":27,"ask-within-us":28},
        "extra":{"counter":true,"count-wait-us":29,"trued-up":false}}""";
    PolicyConfig expected =
        new PolicyConfig(
            1,
            2,
            30,
            3,
            "z",
            true,
            List.of(
                new RequestClass(
                    "c",
                    4,
                    5,
                    6,
                    7,
                    8,
                    Idempotency.DEDUPLICATED,
                    DeduplicationScope.ZONE,
                    9,
                    true)),
            List.of(new Plan("p", 10, 11, 12, 13, 14, 15, 16, 17, 18)),
            new GatewayLimits(19, 20, 21, true, false, true, false, true),
            new ServiceRules(22, 23, 24, 25, 26, 27, 28),
            new CounterConfig(true, 29, false));
    assertEquals(expected, SettingsReader.readPolicyConfig(Json.parse(text), 30));
  }

  @Test
  void idempotencyAndScopeNamesMatchTheDocumentedNames() {
    assertEquals(Idempotency.IDEMPOTENT, SettingsReader.parseEnum(Idempotency.class, "idempotent"));
    assertEquals(
        Idempotency.DEDUPLICATED, SettingsReader.parseEnum(Idempotency.class, "deduplicated"));
    assertEquals(
        Idempotency.AT_MOST_ONCE, SettingsReader.parseEnum(Idempotency.class, "at_most_once"));
    assertEquals(DeduplicationScope.ALL, SettingsReader.parseEnum(DeduplicationScope.class, "all"));
    assertEquals(
        DeduplicationScope.ZONE, SettingsReader.parseEnum(DeduplicationScope.class, "zone"));
    assertEquals(
        DeduplicationScope.CELL, SettingsReader.parseEnum(DeduplicationScope.class, "cell"));
    assertThrows(
        MalformedMessageException.class,
        () -> SettingsReader.parseEnum(DeduplicationScope.class, "pod"));
  }
}
