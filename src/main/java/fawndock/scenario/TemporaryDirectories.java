package fawndock.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Folders that a tool makes for itself. */
public final class TemporaryDirectories {
  private TemporaryDirectories() {}

  /** Removes a folder and all that is in it. */
  public static void delete(Path folder) throws IOException {
    List<Path> deepestFirst;
    try (Stream<Path> files = Files.walk(folder)) {
      deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path each : deepestFirst) {
      Files.deleteIfExists(each);
    }
  }
}
