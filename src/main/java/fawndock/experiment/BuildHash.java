package fawndock.experiment;

import fawndock.policy.GatewayPolicy;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;

/**
 * Hashes that identify a build. The hash is part of each result's key, so that results of another
 * policy or of another simulation model are not reused.
 */
public final class BuildHash {
  private static final int HASH_LENGTH = 16;

  private BuildHash() {}

  /** Returns the first {@value #HASH_LENGTH} hexadecimal digits of the SHA-256 of some texts. */
  public static String hash(String... texts) {
    MessageDigest digest = digest();
    for (String text : texts) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    return format(digest);
  }

  /**
   * Returns the hash of the classes that determine the result of a run with a policy: the policy,
   * the run and what these depend on. It does not change with other classes of the program.
   */
  public static String ofRunsWith(Class<? extends GatewayPolicy> policy) throws IOException {
    return ofRunsWith(policy.getName(), policy.getClassLoader());
  }

  /** Returns the hash for a policy whose classes a class loader finds, without loading them. */
  static String ofRunsWith(String policyName, ClassLoader loader) throws IOException {
    MessageDigest digest = digest();
    classFilesOfRunsWith(policyName, loader)
        .forEach(
            (name, classFile) -> {
              digest.update(name.getBytes(StandardCharsets.UTF_8));
              digest.update(classFile);
            });
    return format(digest);
  }

  /** Returns the hashed class files by their names in internal form. */
  static SortedMap<String, byte[]> classFilesOfRunsWith(String policyName, ClassLoader loader)
      throws IOException {
    return ClassDependencies.classFiles(
        loader, List.of(internalName(PlannedRun.class.getName()), internalName(policyName)));
  }

  private static String internalName(String className) {
    return className.replace('.', '/');
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String format(MessageDigest digest) {
    return HexFormat.of().formatHex(digest.digest()).substring(0, HASH_LENGTH);
  }
}
