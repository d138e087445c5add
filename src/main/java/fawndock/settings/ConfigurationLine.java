package fawndock.settings;

import java.util.List;

/** One line that says something: its first word is the keyword, the others its arguments. */
public record ConfigurationLine(String file, int number, List<String> words) {
  public String keyword() {
    return words.get(0);
  }
}
