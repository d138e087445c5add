package fawndock.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits settings files into lines of words. Words are separated by white space; {@code "…"} keeps
 * white space and {@code #} in a word and knows {@code \"} and {@code \\}; {@code #} at the start
 * of a word begins a comment; {@code include FILE} puts another file's lines in its place, relative
 * to the file that names it.
 */
final class ConfigurationLineReader {
  private static final int MAX_INCLUDE_DEPTH = 8;
  private static final int MAX_LINES = 1_000_000;
  private static final long MAX_FILE_BYTES = 64L << 20;
  private final List<ConfigurationLine> lines = new ArrayList<>();
  private final List<ConfigurationError> errors;

  /** Errors are added to the list given. */
  ConfigurationLineReader(List<ConfigurationError> errors) {
    this.errors = errors;
  }

  /** The lines of a file and of all files that it includes. */
  List<ConfigurationLine> read(Path file) {
    include(file, file.toString(), 0, 0);
    return lines;
  }

  private void include(Path file, String includedIn, int includeLine, int depth) {
    if (depth > MAX_INCLUDE_DEPTH) {
      addError(
          includedIn,
          includeLine,
          "includes are nested more than " + MAX_INCLUDE_DEPTH + " deep",
          "a file that does not include itself");
      return;
    }
    Optional<String> text = readText(file, includedIn, includeLine);
    if (text.isEmpty()) {
      return;
    }
    int number = 0;
    for (String each : text.get().split("\r?\n", -1)) {
      number++;
      List<String> words = splitWords(each, file.toString(), number);
      if (words.isEmpty()) {
        continue;
      }
      if (lines.size() >= MAX_LINES) {
        addError(file.toString(), number, "more than " + MAX_LINES + " lines in all", "fewer");
        return;
      }
      addLine(file, new ConfigurationLine(file.toString(), number, words), depth);
    }
  }

  private Optional<String> readText(Path file, String includedIn, int includeLine) {
    try {
      if (Files.isRegularFile(file) && Files.size(file) > MAX_FILE_BYTES) {
        addError(includedIn, includeLine, file + " is over 64 MiB", "a settings file");
        return Optional.empty();
      }
      return Optional.of(new String(Files.readAllBytes(file), StandardCharsets.UTF_8));
    } catch (IOException | SecurityException e) {
      addError(includedIn, includeLine, "cannot read " + file, "a file that can be read");
      return Optional.empty();
    }
  }

  private void addLine(Path file, ConfigurationLine line, int depth) {
    if (!line.keyword().equals("include")) {
      lines.add(line);
    } else if (line.words().size() != 2) {
      addError(
          line.file(),
          line.number(),
          "include names " + (line.words().size() - 1) + " files",
          "include FILE");
    } else {
      include(file.resolveSibling(line.words().get(1)), line.file(), line.number(), depth + 1);
    }
  }

  /** The words of a line; none for an empty line, a comment, and one whose quote is not closed. */
  private List<String> splitWords(String text, String file, int number) {
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
        boolean isQuoted = false;
        while (at < text.length() && (isQuoted || !Character.isWhitespace(text.charAt(at)))) {
          c = text.charAt(at++);
          if (c == '"') {
            isQuoted = !isQuoted;
          } else if (c == '\\' && isQuoted && at < text.length()) {
            word.append(text.charAt(at++));
          } else {
            word.append(c);
          }
        }
        if (isQuoted) {
          addError(file, number, "a quote is not closed", "\" before the line ends");
          return List.of();
        }
        words.add(word.toString());
      }
    }
    return words;
  }

  private void addError(String file, int line, String problem, String expected) {
    errors.add(new ConfigurationError(file, line, problem, expected));
  }
}
