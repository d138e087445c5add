package fawndock.settings;

/**
 * Something wrong in a settings file.
 *
 * @param file the file as it was named
 * @param line its line, from 1; 0 for the file as a whole
 * @param problem what is wrong
 * @param expected what would be right
 */
public record ConfigurationError(String file, int line, String problem, String expected) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + problem + ", expected " + expected;
  }
}
