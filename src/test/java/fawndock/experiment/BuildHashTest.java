package fawndock.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.DefaultGatewayPolicy;
import java.io.File;
import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BuildHashTest {
  private static final String POLICY = DefaultGatewayPolicy.class.getName();
  private ModifiedBuild build;

  /** Records the classes that it loads, which are all but those of the Java runtime. */
  private static final class RecordingClassLoader extends URLClassLoader {
    private final Set<String> loadedNames = new TreeSet<>();

    RecordingClassLoader(String classPath) throws MalformedURLException {
      super(urls(classPath), ClassLoader.getPlatformClassLoader());
    }

    private static URL[] urls(String classPath) throws MalformedURLException {
      String[] entries = classPath.split(File.pathSeparator, 0);
      URL[] urls = new URL[entries.length];
      for (int i = 0; i < entries.length; i++) {
        urls[i] = Path.of(entries[i]).toUri().toURL();
      }
      return urls;
    }

    @Override
    protected Class<?> findClass(String name) throws ClassNotFoundException {
      Class<?> type = super.findClass(name);
      loadedNames.add(name.replace('.', '/'));
      return type;
    }
  }

  @BeforeAll
  void copyBuild(@TempDir Path directory) throws IOException {
    build = ModifiedBuild.copyTo(directory.resolve("classes"));
  }

  private static String hash(ModifiedBuild build) throws IOException {
    try (URLClassLoader loader = new RecordingClassLoader(build.classPath())) {
      return BuildHash.ofRunsWith(POLICY, loader);
    }
  }

  /** A class that a run uses and the hash leaves out can change the results unnoticed. */
  @Test
  void ofRunsWith_coversAllClassesThatARunLoads(@TempDir Path directory) throws Exception {
    Path scenario =
        Files.writeString(
            directory.resolve("all-faults.emu"),
            """
            gatekeepers 3
            workers 4 zones 2 thrash 0.1
            network way 300us more 200us loss 0.01
            counter rate 200 wait 20ms parts 2 turns-away 0.05 queue 5ms
            for 8s
            class lookup aim 300ms deadline 1s repeat idempotent
            class booking aim 300ms deadline 1s repeat deduplicated window 10s
            plan seat rate 20 store 40 ceiling-rate 40 ceiling-burst 80
            plan few open 3
            demand desks class lookup plan seat rate 100 customers 5 skew 0.5 give-up 900ms retry after wait 50ms
            demand agents class booking plan few rate 30 customers 2
            trouble counter-silent from 1s until 2s
            trouble counter-dies from 2s until 3s empty yes
            trouble counter-loses from 3s until 4s
            trouble counter-slow from 3s until 4s
            trouble counter-turns-away from 4s until 5s
            trouble counter-split from 5s until 6s part 0
            trouble worker-slow from 1s until 2s
            trouble worker-silent from 2s until 3s
            trouble worker-loses-answers from 3s until 4s
            trouble worker-errs from 4s until 5s
            trouble worker-leaks from 5s until 6s many 2
            trouble worker-dies from 1s until 2s worker 1
            trouble worker-drains from 2s until 4s worker 2
            trouble deploy from 5s until 7s many 2
            trouble zone-dies from 6s until 7s zone 1
            trouble network-slow from 1s until 2s
            trouble roster-mute from 2s until 3s
            trouble clock-skew from 3s until 4s by 100ms
            trouble gatekeeper-dies from 4s until 5s
            trouble burst from 5s until 6s times 2
            trouble give-up from 6s until 7s
            trouble retry-storm from 6s until 7s many 3
            trouble poison from 1s until 7s share 0.01
            """);
    try (RecordingClassLoader loader =
        new RecordingClassLoader(System.getProperty("java.class.path"))) {
      Class<?> runType = loader.loadClass(ScenarioRun.class.getName());
      ((Runnable) runType.getDeclaredConstructor(Path.class).newInstance(scenario)).run();
      Set<String> uncovered = new TreeSet<>(loader.loadedNames);
      assertTrue(
          uncovered.containsAll(
              Set.of(
                  "fawndock/policy/quota/OverQuotaRule",
                  "fawndock/settings/PolicyConfigReader",
                  "org/HdrHistogram/Histogram")),
          uncovered.toString());
      uncovered.removeAll(BuildHash.classFilesOfRunsWith(POLICY, loader).keySet());
      uncovered.remove(runType.getName().replace('.', '/'));
      assertEquals(Set.of(), uncovered);
    }
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "fawndock/policy/quota/RetryAfter.java, 1_000_000, 2_000_000",
        "fawndock/policy/routing/OutlierDetector.java, EJECTION_FAILURES = 3, EJECTION_FAILURES = 4",
        "fawndock/settings/PolicyConfigReader.java, Idempotency.AT_MOST_ONCE, Idempotency.IDEMPOTENT",
        "fawndock/experiment/PlannedRun.java, 1e3, 1e2",
      })
  void ofRunsWith_changesWithAClassThatDeterminesResults(
      String sourceFile, String text, String replacement, @TempDir Path directory)
      throws Exception {
    ModifiedBuild modified = ModifiedBuild.copyTo(directory.resolve("classes"));
    assertEquals(hash(build), hash(modified));
    modified.replaceInSource(sourceFile, text, replacement);
    assertNotEquals(hash(build), hash(modified));
  }

  /** Otherwise each build of the program would repeat all runs. */
  @Test
  void ofRunsWith_ignoresClassesThatRunsDoNotUse(@TempDir Path directory) throws Exception {
    ModifiedBuild modified = ModifiedBuild.copyTo(directory.resolve("classes"));
    modified.replaceInSource("fawndock/cli/ReportCommand.java", "DIR/report.html", "report.html");
    assertEquals(hash(build), hash(modified));
  }

  @Test
  void ofRunsWith_missingPolicy_fails() {
    assertThrows(
        IOException.class,
        () -> BuildHash.ofRunsWith("fawndock.Missing", getClass().getClassLoader()));
  }
}
