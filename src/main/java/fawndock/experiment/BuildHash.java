package fawndock.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/**
 * Tells builds apart: results of other decisions, or of another model, are not taken for those of
 * this one.
 */
public final class BuildHash {
  private static final int SHOWN = 16;

  /** What a simulated run depends on. */
  private static final List<String> PARTS =
      List.of(
          "fawndock/Logic",
          "fawndock/Gatekeeper",
          "fawndock/simulation/",
          "fawndock/loadgen/",
          "fawndock/measurement/",
          "fawndock/conformance/",
          "fawndock/counter/storage/");

  private BuildHash() {}

  /** A short hash of some texts. */
  public static String hash(String... texts) {
    MessageDigest digest = digest();
    for (String text : texts) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    return HexFormat.of().formatHex(digest.digest()).substring(0, SHOWN);
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Of the classes that this program runs with. */
  public static String ofRunningClasses() throws IOException {
    try {
      Path from = Path.of(BuildHash.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      if (Files.isDirectory(from)) {
        return of(from);
      }
      try (FileSystem jar = FileSystems.newFileSystem(from)) {
        return of(jar.getPath("/"));
      }
    } catch (URISyntaxException e) {
      throw new IOException(e);
    }
  }

  private static String of(Path root) throws IOException {
    MessageDigest digest = digest();
    List<Path> classes;
    try (Stream<Path> all = Files.walk(root.resolve("fawndock"))) {
      classes =
          all.filter(
                  p ->
                      PARTS.stream()
                              .anyMatch(
                                  part ->
                                      root.relativize(p)
                                          .toString()
                                          .replace('\\', '/')
                                          .startsWith(part))
                          && p.toString().endsWith(".class"))
              .sorted((a, b) -> a.toString().compareTo(b.toString()))
              .toList();
    }
    for (Path each : classes) {
      digest.update(root.relativize(each).toString().getBytes(StandardCharsets.UTF_8));
      try (InputStream in = Files.newInputStream(each)) {
        digest.update(in.readAllBytes());
      }
    }
    return HexFormat.of().formatHex(digest.digest()).substring(0, SHOWN);
  }
}
