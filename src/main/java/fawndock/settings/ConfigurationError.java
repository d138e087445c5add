package fawndock.settings;

/**
 * One error of a settings file: where it is, what was read and what was expected.
 *
 * @param file the file as it was named
 * @param line its line, from 1; 0 for the file as a whole
 * @param problem what was read that is wrong, or what is missing
 * @param expected what would be right
 */
public record ConfigurationError(String file, int line, String problem, String expected) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + problem + ", expected " + expected;
  }
}
