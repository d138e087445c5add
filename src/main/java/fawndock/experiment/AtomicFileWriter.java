package fawndock.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Writes text files that readers see either as before or complete. Stateless. */
public final class AtomicFileWriter {
  private AtomicFileWriter() {}

  /** Replaces a file, by way of a temporary file beside it, and returns its path. */
  public static Path write(Path file, CharSequence text) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
    Files.writeString(temporaryFile, text);
    return Files.move(
        temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
