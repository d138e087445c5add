package fawndock.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits settings files into lines of words. White space separates words. Within double quotes, a
 * word may contain white space and {@code #}, and {@code \"} and {@code \\} are escapes. A {@code
 * #} at the start of a word begins a comment. {@code include FILE} is replaced by the lines of that
 * file, whose path is relative to the including file. Not thread-safe.
 */
final class ConfigurationLineReader {
  private static final int MAX_INCLUDE_DEPTH = 8;
  private static final int MAX_LINES = 1_000_000;
  private static final long MAX_FILE_BYTES = 64L << 20;
  private final List<ConfigurationLine> lines = new ArrayList<>();
  private final List<ConfigurationError> errors;

  /** Creates a reader that adds its errors to the given list. */
  ConfigurationLineReader(List<ConfigurationError> errors) {
    this.errors = errors;
  }

  /** Returns the lines of a file and of all files that it includes. */
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
    int lineNumber = 0;
    for (String lineText : text.get().split("\r?\n", -1)) {
      lineNumber++;
      List<String> words = splitWords(lineText, file.toString(), lineNumber);
      if (words.isEmpty()) {
        continue;
      }
      if (lines.size() >= MAX_LINES) {
        addError(file.toString(), lineNumber, "more than " + MAX_LINES + " lines in all", "fewer");
        return;
      }
      addLine(file, new ConfigurationLine(file.toString(), lineNumber, words), depth);
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

  /** Returns the words of a line; none for an empty line, a comment or an unclosed quote. */
  private List<String> splitWords(String text, String file, int lineNumber) {
    List<String> words = new ArrayList<>();
    int position = 0;
    while (position < text.length()) {
      char c = text.charAt(position);
      if (Character.isWhitespace(c)) {
        position++;
      } else if (c == '#') {
        break;
      } else {
        StringBuilder word = new StringBuilder();
        boolean isQuoted = false;
        while (position < text.length()
            && (isQuoted || !Character.isWhitespace(text.charAt(position)))) {
          c = text.charAt(position++);
          if (c == '"') {
            isQuoted = !isQuoted;
          } else if (c == '\\' && isQuoted && position < text.length()) {
            word.append(text.charAt(position++));
          } else {
            word.append(c);
          }
        }
        if (isQuoted) {
          addError(file, lineNumber, "a quote is not closed", "\" before the line ends");
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
