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
 * Hashes that identify a build. The hash is part of each result's key, so that results of another
 * policy or of another simulation model are not reused.
 */
public final class BuildHash {
  private static final int HASH_LENGTH = 16;

  /** Class files that the result of a simulated run depends on. */
  private static final List<String> HASHED_CLASS_PREFIXES =
      List.of(
          "fawndock/Logic",
          "fawndock/Gatekeeper",
          "fawndock/simulation/",
          "fawndock/loadgen/",
          "fawndock/measurement/",
          "fawndock/conformance/",
          "fawndock/counter/storage/");

  private BuildHash() {}

  /** Returns the first {@value #HASH_LENGTH} hexadecimal digits of the SHA-256 of some texts. */
  public static String hash(String... texts) {
    MessageDigest digest = digest();
    for (String text : texts) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    return HexFormat.of().formatHex(digest.digest()).substring(0, HASH_LENGTH);
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the hash of the class files that this process runs with. */
  public static String ofRunningClasses() throws IOException {
    try {
      Path codeSource =
          Path.of(BuildHash.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      if (Files.isDirectory(codeSource)) {
        return ofClasses(codeSource);
      }
      try (FileSystem jar = FileSystems.newFileSystem(codeSource)) {
        return ofClasses(jar.getPath("/"));
      }
    } catch (URISyntaxException e) {
      throw new IOException(e);
    }
  }

  private static String ofClasses(Path root) throws IOException {
    MessageDigest digest = digest();
    List<Path> classes;
    try (Stream<Path> paths = Files.walk(root.resolve("fawndock"))) {
      classes =
          paths
              .filter(
                  path ->
                      HASHED_CLASS_PREFIXES.stream()
                              .anyMatch(
                                  prefix ->
                                      root.relativize(path)
                                          .toString()
                                          .replace('\\', '/')
                                          .startsWith(prefix))
                          && path.toString().endsWith(".class"))
              .sorted((a, b) -> a.toString().compareTo(b.toString()))
              .toList();
    }
    for (Path classFile : classes) {
      digest.update(root.relativize(classFile).toString().getBytes(StandardCharsets.UTF_8));
      try (InputStream in = Files.newInputStream(classFile)) {
        digest.update(in.readAllBytes());
      }
    }
    return HexFormat.of().formatHex(digest.digest()).substring(0, HASH_LENGTH);
  }
}
