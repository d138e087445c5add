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
import java.util.function.IntConsumer;
import java.util.function.LongConsumer;

/**
 * Base of all settings files: a keyword on each line, checks across lines, and every error at once.
 * A subclass registers its keywords in its constructor. One thread.
 */
public abstract class ConfigurationFile {
  /** Reader of each keyword's lines, in the order in which errors list the keywords. */
  protected final Map<String, Consumer<ConfigurationLine>> keywords = new LinkedHashMap<>();

  private final Set<String> repeatableKeywords;
  private final List<ConfigurationError> errors = new ArrayList<>();
  private final Map<String, ConfigurationLine> firstLineByKeyword = new HashMap<>();
  private final List<Runnable> crossChecks = new ArrayList<>();
  private Path file;
  private boolean isUnreadable;

  /**
   * @param repeatableKeywords keywords that may stand on more than one line
   */
  protected ConfigurationFile(Set<String> repeatableKeywords) {
    this.repeatableKeywords = repeatableKeywords;
  }

  /**
   * Registers a keyword that is followed by positional arguments, then by pairs of name and value.
   * Names that the reader does not take are errors.
   *
   * @param form how the line is written, for errors
   */
  protected final void keyword(
      String keyword, int positionalCount, String form, Consumer<LineArguments> reader) {
    keywords.put(
        keyword,
        line -> {
          LineArguments arguments = arguments(line, positionalCount, form);
          reader.accept(arguments);
          arguments.rejectUnknown();
        });
  }

  /** Registers {@code KEYWORD HOST:PORT}. */
  protected final void addressKeyword(String keyword, Consumer<Address> setter) {
    keyword(keyword, 1, keyword + " HOST:PORT", a -> setter.accept(a.address(0)));
  }

  /** Registers {@code KEYWORD NUMBER}, a whole number within bounds. */
  protected final void integerKeyword(String keyword, int least, int most, IntConsumer setter) {
    keywords.put(keyword, line -> setter.accept(readInt(line, least, most)));
  }

  /** Registers {@code KEYWORD TIME}, in microseconds within bounds. */
  protected final void timeKeyword(
      String keyword, long leastMicros, long mostMicros, LongConsumer setter) {
    keyword(
        keyword,
        1,
        keyword + " TIME",
        a ->
            setter.accept(
                a.parseMicros(keyword, a.positional(0), leastMicros, mostMicros, leastMicros)));
  }

  /** Registers a keyword with one word of any kind. */
  protected final void wordKeyword(String keyword, String placeholder, Consumer<String> setter) {
    keyword(keyword, 1, keyword + " " + placeholder, a -> setter.accept(a.positional(0)));
  }

  /** Registers {@code log text|json [level …]}. */
  protected final void logKeyword(Consumer<LogSettings> setter) {
    keyword(
        "log", 1, "log text|json [level error|warn|info|debug]", a -> setter.accept(readLog(a)));
  }

  /** Reads all lines and makes the cross checks. */
  protected void readLines(Path from) {
    file = from;
    List<ConfigurationLine> lines = new ConfigurationLineReader(errors).read(from);
    isUnreadable = lines.isEmpty() && !errors.isEmpty();
    for (ConfigurationLine written : lines) {
      ConfigurationLine line = prepare(written);
      if (line != null) {
        readLine(line);
      }
    }
    crossChecks.forEach(Runnable::run);
  }

  private void readLine(ConfigurationLine line) {
    Consumer<ConfigurationLine> reader = keywords.get(line.keyword());
    ConfigurationLine before =
        repeatableKeywords.contains(line.keyword())
            ? null
            : firstLineByKeyword.putIfAbsent(line.keyword(), line);
    if (reader == null) {
      addError(
          line,
          "unknown keyword '" + line.keyword() + "'",
          "one of " + String.join(" ", keywords.keySet()) + " include");
    } else if (before != null) {
      addError(
          line,
          "'" + line.keyword() + "' stands already in " + before.file() + ":" + before.number(),
          "it once");
    } else {
      reader.accept(line);
    }
  }

  /** The line as it is to be read, or null for one that is left out. */
  protected ConfigurationLine prepare(ConfigurationLine line) {
    return line;
  }

  /** Adds an error of a line. */
  protected void addError(ConfigurationLine line, String problem, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), problem, expected));
  }

  /** Adds an error of the file as a whole, unless the file could not be read at all. */
  protected void addFileErrorIf(boolean isWrong, String problem, String expected) {
    if (isWrong && !isUnreadable) {
      errors.add(new ConfigurationError(file.toString(), 0, problem, expected));
    }
  }

  /** Throws all errors, in the order of the files and their lines, when there are any. */
  protected void throwIfErrors() throws ConfigurationException {
    if (!errors.isEmpty()) {
      List<String> files = errors.stream().map(ConfigurationError::file).distinct().toList();
      errors.sort(
          Comparator.comparingInt((ConfigurationError error) -> files.indexOf(error.file()))
              .thenComparingInt(ConfigurationError::line));
      throw new ConfigurationException(errors);
    }
  }

  /** The arguments of a line of this form. */
  protected LineArguments arguments(ConfigurationLine line, int positionalCount, String form) {
    return new LineArguments(line, positionalCount, form, errors);
  }

  /** Checks, when all lines are read, what this line says against the others. */
  protected void crossCheck(
      LineArguments arguments, BooleanSupplier isRight, String problem, String expected) {
    crossCheck(isRight, () -> arguments.addError(problem, expected));
  }

  /** The same for a line whose arguments are not read by {@link LineArguments}. */
  protected void crossCheck(
      ConfigurationLine line, BooleanSupplier isRight, String problem, String expected) {
    crossCheck(isRight, () -> addError(line, problem, expected));
  }

  private void crossCheck(BooleanSupplier isRight, Runnable addError) {
    crossChecks.add(
        () -> {
          if (!isRight.getAsBoolean()) {
            addError.run();
          }
        });
  }

  /** Reads a line that is a keyword and a whole number; the least when it is none. */
  protected int readInt(ConfigurationLine line, int least, int most) {
    LineArguments arguments = arguments(line, 1, line.keyword() + " NUMBER");
    int number =
        arguments.parseInteger(line.keyword(), arguments.positional(0), least, most, least);
    arguments.rejectUnknown();
    return number;
  }

  private static LogSettings readLog(LineArguments a) {
    String format = a.positional(0);
    if (!format.matches("text|json")) {
      a.addError("log form '" + format + "'", "text or json");
    }
    String level = a.word("level", LogSettings.DEFAULT.level());
    if (!level.matches("error|warn|info|debug")) {
      a.addError("log level '" + level + "'", "error, warn, info or debug");
    }
    return new LogSettings(format.equals("json"), level);
  }
}
