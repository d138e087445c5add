package fawndock.settings;

/**
 * One error in a settings file: its location, the problem and the expected form. Immutable.
 *
 * @param file path of the file, as it was given
 * @param line line number from 1; 0 when the error concerns the whole file
 * @param problem the invalid text or the missing setting
 * @param expected the valid form
 */
public record ConfigurationError(String file, int line, String problem, String expected) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + problem + ", expected " + expected;
  }
}
