package fawndock.settings;

import java.util.List;

/**
 * One line of a settings file that is neither empty nor a comment: a keyword and its arguments.
 *
 * @param file path of the file, as it was given
 * @param number line number from 1
 * @param words the keyword, followed by the arguments
 */
public record ConfigurationLine(String file, int number, List<String> words) {
  /** Returns the first word. */
  public String keyword() {
    return words.get(0);
  }
}
