package fawndock.counter;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Gives access to the test fixtures that an earlier version stored; see the README in their
 * directory.
 */
public final class EarlierVersionFiles {
  private static final Path ROOT = Path.of("src/test/resources/fawndock/counter/written-before");

  /** The fixture directories, each of which contains a log. */
  public static final List<String> DIRECTORIES =
      List.of("first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2");

  private EarlierVersionFiles() {}

  /** Returns the path of a file or directory, given its path relative to the fixtures. */
  public static Path path(String name) {
    return ROOT.resolve(name);
  }

  /** Returns the lines of a text file. */
  public static List<String> lines(String name) throws IOException {
    return Files.readAllLines(path(name), StandardCharsets.UTF_8);
  }

  /** Returns the names of the segments and snapshots in a directory, snapshots last. */
  public static List<String> storedFiles(String directory) throws IOException {
    try (Stream<Path> files = Files.list(path(directory))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".log") || name.endsWith(".snap"))
          .sorted()
          .toList();
    }
  }

  /**
   * Copies the segments and snapshots of a directory to another one, where tests may modify them.
   */
  public static void copyTo(String directory, Path target) throws IOException {
    Files.createDirectories(target);
    for (String name : storedFiles(directory)) {
      Files.copy(path(directory).resolve(name), target.resolve(name));
    }
  }
}
