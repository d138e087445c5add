package fawndock.counter;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The files that an earlier version wrote; see the README beside them. */
public final class EarlierVersionFiles {
  private static final Path ROOT = Path.of("src/test/resources/fawndock/counter/written-before");

  /** Directories with a log of their own. */
  public static final List<String> DIRECTORIES =
      List.of("first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2");

  private EarlierVersionFiles() {}

  /** A file or directory by its path below the fixtures. */
  public static Path path(String name) {
    return ROOT.resolve(name);
  }

  /** The lines of a text file. */
  public static List<String> lines(String name) throws IOException {
    return Files.readAllLines(path(name), StandardCharsets.UTF_8);
  }

  /** Names of the segments and snapshots in a directory, snapshots last. */
  public static List<String> storedFiles(String directory) throws IOException {
    try (Stream<Path> files = Files.list(path(directory))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".log") || name.endsWith(".snap"))
          .sorted()
          .toList();
    }
  }

  /** Copies the segments and snapshots of a directory to another, where they may be changed. */
  public static void copyTo(String directory, Path target) throws IOException {
    Files.createDirectories(target);
    for (String name : storedFiles(directory)) {
      Files.copy(path(directory).resolve(name), target.resolve(name));
    }
  }
}
