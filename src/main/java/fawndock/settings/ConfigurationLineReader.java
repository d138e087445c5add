package fawndock.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits settings files into lines of words. Words are parted by blanks; {@code "…"} keeps blanks
 * and {@code #} together and knows {@code \"} and {@code \\}; {@code #} at the start of a word
 * begins a comment; {@code include FILE} puts another file's lines in its place, relative to the
 * file that names it.
 */
final class ConfigurationLineReader {
  private static final int MAX_INCLUDE_DEPTH = 8;
  private static final int MAX_LINES = 1_000_000;
  private static final long MAX_FILE_BYTES = 64L << 20;
  private final List<ConfigurationLine> lines = new ArrayList<>();
  private final List<ConfigurationError> errors;

  ConfigurationLineReader(List<ConfigurationError> mistakes) {
    this.errors = mistakes;
  }

  List<ConfigurationLine> read(Path file) {
    include(file, file.toString(), 0, 0);
    return lines;
  }

  private void include(Path file, String namedIn, int line, int depth) {
    if (depth > MAX_INCLUDE_DEPTH) {
      errors.add(
          new ConfigurationError(
              namedIn,
              line,
              "includes are nested more than " + MAX_INCLUDE_DEPTH + " deep",
              "a file that does not include itself"));
      return;
    }
    String text;
    try {
      if (Files.isRegularFile(file) && Files.size(file) > MAX_FILE_BYTES) {
        errors.add(
            new ConfigurationError(namedIn, line, file + " is over 64 MiB", "a settings file"));
        return;
      }
      text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
    } catch (IOException | SecurityException e) {
      errors.add(
          new ConfigurationError(namedIn, line, "cannot read " + file, "a file that can be read"));
      return;
    }
    int number = 0;
    for (String each : text.split("\r?\n", -1)) {
      number++;
      Optional<List<String>> words = splitWords(each, file.toString(), number);
      if (words.isEmpty() || words.get().isEmpty()) {
        continue;
      }
      if (lines.size() >= MAX_LINES) {
        errors.add(
            new ConfigurationError(
                file.toString(), number, "more than " + MAX_LINES + " lines in all", "fewer"));
        return;
      }
      ConfigurationLine line1 = new ConfigurationLine(file.toString(), number, words.get());
      if (!line1.keyword().equals("include")) {
        lines.add(line1);
      } else if (line1.words().size() != 2) {
        errors.add(
            new ConfigurationError(
                file.toString(),
                number,
                "include names " + (line1.words().size() - 1) + " files",
                "include FILE"));
      } else {
        include(file.resolveSibling(line1.words().get(1)), file.toString(), number, depth + 1);
      }
    }
  }

  private Optional<List<String>> splitWords(String text, String file, int number) {
    List<String> words = new ArrayList<>();
    int at = 0;
    while (at < text.length()) {
      char c = text.charAt(at);
      if (Character.isWhitespace(c)) {
        at++;
      } else if (c == '#') {
        break;
      } else {
        StringBuilder word = new StringBuilder();
        boolean quoted = false;
        while (at < text.length() && (quoted || !Character.isWhitespace(text.charAt(at)))) {
          c = text.charAt(at++);
          if (c == '"') {
            quoted = !quoted;
          } else if (c == '\\' && quoted && at < text.length()) {
            word.append(text.charAt(at++));
          } else {
            word.append(c);
          }
        }
        if (quoted) {
          errors.add(
              new ConfigurationError(
                  file, number, "a quote is not closed", "\" before the line ends"));
          return Optional.empty();
        }
        words.add(word.toString());
      }
    }
    return Optional.of(words);
  }
}
