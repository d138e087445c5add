package fawndock.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import fawndock.Main;
import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.tools.ToolProvider;

/** A copy of this program's classes in which sources can be replaced, as in a build of its own. */
public final class ModifiedBuild {
  private static final Path SOURCES = Path.of("src/main/java");
  private final Path classes;

  private ModifiedBuild(Path classes) {
    this.classes = classes;
  }

  /** Copies the classes of this program into a new directory. */
  public static ModifiedBuild copyTo(Path directory) throws IOException {
    Path original = originalClasses();
    try (Stream<Path> paths = Files.walk(original)) {
      for (Path path : paths.toList()) {
        Files.copy(path, directory.resolve(original.relativize(path).toString()));
      }
    }
    return new ModifiedBuild(directory);
  }

  private static Path originalClasses() throws IOException {
    try {
      return Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException(e);
    }
  }

  /** Compiles a source file after replacing a text that it must contain. */
  public void replaceInSource(String sourceFile, String text, String replacement)
      throws IOException {
    String original = Files.readString(SOURCES.resolve(sourceFile));
    String modified = original.replace(text, replacement);
    assertNotEquals(original, modified, "'" + text + "' is not in " + sourceFile);
    Path modifiedFile =
        classes.resolveSibling(classes.getFileName() + ".sources").resolve(sourceFile);
    Files.createDirectories(modifiedFile.getParent());
    Files.writeString(modifiedFile, modified);
    assertEquals(
        0,
        ToolProvider.getSystemJavaCompiler()
            .run(
                null,
                null,
                null,
                "-proc:none",
                "-d",
                classes.toString(),
                "-cp",
                classPath(),
                modifiedFile.toString()));
  }

  /** Returns a class path of these classes and the program's libraries. */
  public String classPath() throws IOException {
    Path original = originalClasses();
    return Stream.concat(
            Stream.of(classes),
            Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator, 0))
                .map(Path::of)
                .filter(path -> !path.equals(original)))
        .map(Path::toString)
        .collect(Collectors.joining(File.pathSeparator));
  }

  /** Starts the program in a process of its own; its output and errors are in one stream. */
  public Process start(String... arguments) throws IOException {
    List<String> java =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-cp",
            classPath(),
            "fawndock.Main");
    List<String> command = Stream.concat(java.stream(), Arrays.stream(arguments)).toList();
    return new ProcessBuilder(command).redirectErrorStream(true).start();
  }
}
