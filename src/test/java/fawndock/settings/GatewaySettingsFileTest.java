package fawndock.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the line format of settings files and the reporting of their errors. */
class GatewaySettingsFileTest {
  private static final String VALID_SETTINGS =
      """
            listen 127.0.0.1:8080      # clients
            class lookup aim 500ms deadline 2s repeat idempotent
            route GET /lookup lookup
            route GET /lookup/deep lookup
            plan basic rate 2 store 8
            key "a key # with \\"blanks\\"" customer one plan basic
            server w1 127.0.0.1:7001
            """;

  @TempDir Path directory;

  private Path writeFile(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  private List<String> errors(String text) throws IOException {
    Path path = writeFile("bad.conf", text);
    return assertThrows(ConfigurationException.class, () -> GatewaySettingsFile.read(path))
        .errors()
        .stream()
        .map(error -> error.toString().replace(directory + "/", ""))
        .toList();
  }

  @Test
  void read_quotesCommentsUnitsAndIncludes_areParsed() throws Exception {
    writeFile(
        "more.conf",
        "counter 127.0.0.1:6379 [::1]:6380\ncounter-limits timeout 1.5ms\nsizes body 2KiB\n");
    GatewaySettings settings =
        GatewaySettingsFile.read(writeFile("good.conf", VALID_SETTINGS + "include more.conf\n"));
    assertEquals("one", settings.apiKeys().get("a key # with \"blanks\"").customer());
    assertEquals(500_000, settings.classes().get(0).latencyObjectiveMicros());
    assertEquals(1_500, settings.counter().timeoutMicros());
    assertEquals(
        List.of(new Address("127.0.0.1", 6379), new Address("::1", 6380)),
        settings.counter().shards());
    assertEquals(2048, settings.http().maxRequestBodyBytes());
    assertEquals(
        "/lookup/deep",
        settings.routes().get(0).prefix(),
        "the route with the longest prefix comes first");
  }

  @Test
  void everyError_isReportedWithFileAndLine() throws Exception {
    assertEquals(
        List.of(
            "bad.conf:0: no roster and no server, expected roster HOST:PORT, or server lines",
            "bad.conf:1: 'nowhere' is not an address, expected HOST:PORT",
            "bad.conf:2: deadline '2' is not a time in range, expected a number and us, ms, s, m or h, from 1000us to 3600000000us",
            "bad.conf:3: 'rate' is given twice, expected each name once",
            "bad.conf:4: there is no class 'ghost', expected the name of a class line",
            "bad.conf:5: a quote is not closed, expected \" before the line ends",
            "bad.conf:6: unknown argument 'colour' of plan, expected an argument that the manual names",
            "bad.conf:7: 'listen' stands already in bad.conf:1, expected it once",
            "bad.conf:8: include names 0 files, expected include FILE"),
        errors(
            """
                        listen nowhere
                        class lookup aim 1ms deadline 2
                        plan a rate 1 rate 2 store 3
                        route GET /x ghost
                        key "open customer x
                        plan b colour red
                        listen 127.0.0.1:1
                        include
                        """));
  }

  @Test
  void unknownKeyword_isAnError() throws Exception {
    assertEquals(1, errors(VALID_SETTINGS + "lisden 127.0.0.1:1\n").size());
  }

  @Test
  void keyOfAnUnknownPlan_isAnError() throws Exception {
    assertEquals(
        List.of("bad.conf:8: there is no plan 'gold', expected the name of a plan line"),
        errors(VALID_SETTINGS + "key k2 customer two plan gold\n"));
  }

  @Test
  void fileThatIncludesItselfOrIsMissing_isOneError() throws Exception {
    assertEquals(
        1, errors("include bad.conf\n").stream().filter(error -> error.contains("nested")).count());
    assertEquals(
        1,
        errors("include gone.conf\n").stream()
            .filter(error -> error.contains("cannot read"))
            .count());
  }
}
