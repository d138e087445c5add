package fawndock.experiment;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Finds the classes of the program and its libraries that some classes can run, directly or through
 * each other. Classes of the Java runtime are left out, and so are classes that are found by
 * reflection alone.
 */
final class ClassDependencies {
  private static final String JAVA_RUNTIME_PROTOCOL = "jrt";

  private ClassDependencies() {}

  /**
   * Returns the class files of some classes and of all classes that they depend on, by their names
   * in internal form.
   *
   * @param rootNames in internal form, such as {@code java/lang/Object}
   * @throws IOException when a root is missing or a file cannot be read
   */
  static SortedMap<String, byte[]> classFiles(ClassLoader loader, Collection<String> rootNames)
      throws IOException {
    SortedMap<String, byte[]> classFiles = new TreeMap<>();
    Deque<String> pendingNames = new ArrayDeque<>(rootNames);
    while (!pendingNames.isEmpty()) {
      String name = pendingNames.remove();
      if (classFiles.containsKey(name)) {
        continue;
      }
      URL location = loader.getResource(name + ".class");
      if (location == null && rootNames.contains(name)) {
        throw new FileNotFoundException("there is no class file of " + name);
      }
      if (location == null || location.getProtocol().equals(JAVA_RUNTIME_PROTOCOL)) {
        continue;
      }
      byte[] classFile = read(location);
      classFiles.put(name, classFile);
      pendingNames.addAll(ClassFileReferences.read(classFile));
    }
    return classFiles;
  }

  private static byte[] read(URL location) throws IOException {
    try (InputStream in = location.openStream()) {
      return in.readAllBytes();
    }
  }
}
