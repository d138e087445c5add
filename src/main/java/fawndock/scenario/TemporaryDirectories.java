package fawndock.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Removes the temporary directories that scenarios and benchmarks create. */
public final class TemporaryDirectories {
  private TemporaryDirectories() {}

  /** Deletes a directory and everything in it. */
  public static void delete(Path directory) throws IOException {
    List<Path> deepestFirst;
    try (Stream<Path> files = Files.walk(directory)) {
      deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : deepestFirst) {
      Files.deleteIfExists(file);
    }
  }
}
