package fawndock.counter.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.ConfigurationException;
import fawndock.settings.LogSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the keywords and forms of a counter's settings file against a golden list. */
class CounterSettingsKeywordsTest {
  private static final String KEYWORDS =
      "listen directory durability snapshot password max-connections max-memory stall log fleet"
          + " fellow include";

  private static final List<List<String>> FORMS =
      List.of(
          List.of("listen", "listen HOST:PORT"),
          List.of("directory", "directory PATH"),
          List.of("durability", "durability always|interval|none [every TIME]"),
          List.of("snapshot x", "snapshot after SIZE"),
          List.of("password", "password WORD"),
          List.of("max-connections", "max-connections NUMBER"),
          List.of("max-memory", "max-memory SIZE"),
          List.of("stall", "stall TIME"),
          List.of("log", "log text|json [level error|warn|info|debug]"),
          List.of("fleet", "fleet NAME [epoch N] [missing TIME] [alone TIME]"),
          List.of("fellow", "fellow NAME HOST:PORT"),
          List.of("include", "include FILE"));

  @TempDir Path directory;

  private CounterSettings read(String text) throws Exception {
    return CounterSettingsFile.read(Files.writeString(directory.resolve("golden.conf"), text));
  }

  private String error(String text) {
    return assertThrows(ConfigurationException.class, () -> read(text)).getMessage();
  }

  @Test
  void unknownKeyword_errorListsTheDocumentedKeywords() {
    String error = error("no-such-keyword\n");
    assertTrue(error.lines().anyMatch(line -> line.endsWith("expected one of " + KEYWORDS)), error);
  }

  @Test
  void incompleteLine_errorNamesFileLineAndExpectedForm() {
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
    assertEquals(
        new CounterSettings(
            new Address("127.0.0.1", 6379),
            directory.toAbsolutePath().resolve("data"),
            Durability.INTERVAL,
            2_000,
            32 << 20,
            "secret",
            11,
            1 << 20,
            12_000,
            new LogSettings(true, "warn"),
            new CounterSettings.Cluster(
                "n0", 3, 160, 2_100, Map.of("n1", new Address("127.0.0.1", 6380)))),
        read(
            """
            listen 127.0.0.1:6379
            directory data
            durability interval every 2s
            snapshot after 32MiB
            password secret
            max-connections 11
            max-memory 1MiB
            stall 12s
            log json level warn
            fleet n0 epoch 3 missing 160ms alone 2100ms
            fellow n1 127.0.0.1:6380
            """));
  }

  @Test
  void durabilityWords_asDocumented_areAccepted() throws Exception {
    Map<String, Durability> words =
        Map.of(
            "always", Durability.ALWAYS, "interval", Durability.INTERVAL, "none", Durability.NONE);
    for (Map.Entry<String, Durability> word : words.entrySet()) {
      String text = "listen 127.0.0.1:0\ndirectory d\ndurability " + word.getKey() + "\n";
      assertEquals(word.getValue(), read(text).durability());
    }
  }
}
