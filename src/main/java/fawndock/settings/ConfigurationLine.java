package fawndock.settings;

import java.util.List;

/**
 * One line of a settings file that is neither empty nor a comment: a keyword and its arguments.
 *
 * @param file the file as it was named
 * @param number of the line, from 1
 * @param words the keyword first
 */
public record ConfigurationLine(String file, int number, List<String> words) {
  /** The first word. */
  public String keyword() {
    return words.get(0);
  }
}
