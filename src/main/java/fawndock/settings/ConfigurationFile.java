package fawndock.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What all settings files have in common: a keyword on each line, checks across lines, and every
 * mistake at once.
 */
public abstract class ConfigurationFile {
  protected final Map<String, Consumer<ConfigurationLine>> keywords = new LinkedHashMap<>();
  private final Set<String> repeatableKeywords;
  private final List<ConfigurationError> errors = new ArrayList<>();
  private final Map<String, ConfigurationLine> firstLineByKeyword = new HashMap<>();
  private final List<Runnable> crossChecks = new ArrayList<>();
  private Path file;
  private boolean isUnreadable;

  /**
   * @param often keywords that may stand on more than one line
   */
  protected ConfigurationFile(Set<String> often) {
    this.repeatableKeywords = often;
  }

  /** Reads all lines and makes the cross checks. */
  protected void readLines(Path from) {
    file = from;
    List<ConfigurationLine> lines = new ConfigurationLineReader(errors).read(from);
    isUnreadable = lines.isEmpty() && !errors.isEmpty();
    for (ConfigurationLine written : lines) {
      ConfigurationLine line = prepare(written);
      if (line == null) {
        continue;
      }
      Consumer<ConfigurationLine> reader = keywords.get(line.keyword());
      ConfigurationLine before =
          repeatableKeywords.contains(line.keyword())
              ? null
              : firstLineByKeyword.putIfAbsent(line.keyword(), line);
      if (reader == null) {
        errors.add(
            new ConfigurationError(
                line.file(),
                line.number(),
                "unknown keyword '" + line.keyword() + "'",
                "one of " + String.join(" ", keywords.keySet()) + " include"));
      } else if (before != null) {
        errors.add(
            new ConfigurationError(
                line.file(),
                line.number(),
                "'"
                    + line.keyword()
                    + "' stands already in "
                    + before.file()
                    + ":"
                    + before.number(),
                "it once"));
      } else {
        reader.accept(line);
      }
    }
    crossChecks.forEach(Runnable::run);
  }

  /** The line as it is to be read, or null for one that is left out. */
  protected ConfigurationLine prepare(ConfigurationLine line) {
    return line;
  }

  /** Notes what is wrong with a line. */
  protected void addError(ConfigurationLine line, String wrong, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), wrong, expected));
  }

  /** Notes a keyword that must stand somewhere, unless the file could not be read at all. */
  protected void addFileErrorIf(boolean isMissing, String what, String expected) {
    if (isMissing && !isUnreadable) {
      errors.add(new ConfigurationError(file.toString(), 0, what, expected));
    }
  }

  /** Throws all mistakes, in the order of the files and their lines, when there are any. */
  protected void throwIfErrors() throws ConfigurationException {
    if (!errors.isEmpty()) {
      List<String> files = errors.stream().map(ConfigurationError::file).distinct().toList();
      errors.sort(
          Comparator.comparingInt((ConfigurationError m) -> files.indexOf(m.file()))
              .thenComparingInt(ConfigurationError::line));
      throw new ConfigurationException(errors);
    }
  }

  protected LineArguments arguments(ConfigurationLine line, int places, String form) {
    return new LineArguments(line, places, form, errors);
  }

  /** Checks, when all lines are read, what this line says against the others. */
  protected void crossCheck(LineArguments a, BooleanSupplier holds, String wrong, String expected) {
    crossCheck(holds, () -> a.addError(wrong, expected));
  }

  /** The same for a line whose arguments are not read by {@link LineArguments}. */
  protected void crossCheck(
      ConfigurationLine line, BooleanSupplier holds, String wrong, String expected) {
    crossCheck(holds, () -> addError(line, wrong, expected));
  }

  private void crossCheck(BooleanSupplier holds, Runnable otherwise) {
    crossChecks.add(
        () -> {
          if (!holds.getAsBoolean()) {
            otherwise.run();
          }
        });
  }

  /** Reads a line that is a keyword and a whole number; the least when it is none. */
  protected int readInt(ConfigurationLine line, int least, int most) {
    LineArguments a = arguments(line, 1, line.keyword() + " NUMBER");
    int number = a.parseInteger(line.keyword(), a.word(0), least, most, least);
    a.rejectUnknown();
    return number;
  }

  /** Reads {@code log text|json [level …]}. */
  protected GatewaySettings.Log readLog(ConfigurationLine line) {
    LineArguments a = arguments(line, 1, "log text|json [level error|warn|info|debug]");
    if (!a.word(0).matches("text|json")) {
      a.addError("log form '" + a.word(0) + "'", "text or json");
    }
    String level = a.word("level", "info");
    if (!level.matches("error|warn|info|debug")) {
      a.addError("log level '" + level + "'", "error, warn, info or debug");
    }
    a.rejectUnknown();
    return new GatewaySettings.Log(a.word(0).equals("json"), level);
  }
}
