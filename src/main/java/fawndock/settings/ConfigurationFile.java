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
 * Base class of the readers of settings files, in which each line starts with a keyword. A subclass
 * registers its keywords in its constructor. All errors, including those of checks across lines,
 * are collected and reported together. Not thread-safe.
 */
public abstract class ConfigurationFile {
  /**
   * Maps each keyword to the reader of its lines; error messages list the keywords in this order.
   */
  protected final Map<String, Consumer<ConfigurationLine>> keywords = new LinkedHashMap<>();

  private final Set<String> repeatableKeywords;
  private final List<ConfigurationError> errors = new ArrayList<>();
  private final Map<String, ConfigurationLine> firstLineByKeyword = new HashMap<>();
  private final List<Runnable> crossChecks = new ArrayList<>();
  private Path file;
  private boolean isUnreadable;

  /**
   * @param repeatableKeywords keywords that may occur on more than one line
   */
  protected ConfigurationFile(Set<String> repeatableKeywords) {
    this.repeatableKeywords = repeatableKeywords;
  }

  /**
   * Registers a keyword that is followed by positional arguments and then by name-value pairs. A
   * name that the reader does not read is an error.
   *
   * @param form syntax of the line, used in error messages
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
    keyword(keyword, 1, keyword + " HOST:PORT", arguments -> setter.accept(arguments.address(0)));
  }

  /** Registers {@code KEYWORD NUMBER}, an integer within inclusive bounds. */
  protected final void integerKeyword(String keyword, int min, int max, IntConsumer setter) {
    keywords.put(keyword, line -> setter.accept(readInt(line, min, max)));
  }

  /** Registers {@code KEYWORD TIME}, a duration within inclusive bounds in microseconds. */
  protected final void timeKeyword(
      String keyword, long minMicros, long maxMicros, LongConsumer setter) {
    keyword(
        keyword,
        1,
        keyword + " TIME",
        arguments ->
            setter.accept(
                arguments.parseMicros(
                    keyword, arguments.positional(0), minMicros, maxMicros, minMicros)));
  }

  /** Registers a keyword that is followed by one word without further checks. */
  protected final void wordKeyword(String keyword, String placeholder, Consumer<String> setter) {
    keyword(
        keyword,
        1,
        keyword + " " + placeholder,
        arguments -> setter.accept(arguments.positional(0)));
  }

  /** Registers {@code log text|json [level error|warn|info|debug]}. */
  protected final void logKeyword(Consumer<LogSettings> setter) {
    keyword(
        "log",
        1,
        "log text|json [level error|warn|info|debug]",
        arguments -> setter.accept(readLog(arguments)));
  }

  /** Reads all lines of a file and its includes, then runs the checks across lines. */
  protected void readLines(Path from) {
    file = from;
    List<ConfigurationLine> lines = new ConfigurationLineReader(errors).read(from);
    isUnreadable = lines.isEmpty() && !errors.isEmpty();
    for (ConfigurationLine originalLine : lines) {
      ConfigurationLine line = prepare(originalLine);
      if (line != null) {
        readLine(line);
      }
    }
    crossChecks.forEach(Runnable::run);
  }

  private void readLine(ConfigurationLine line) {
    Consumer<ConfigurationLine> reader = keywords.get(line.keyword());
    ConfigurationLine firstLine =
        repeatableKeywords.contains(line.keyword())
            ? null
            : firstLineByKeyword.putIfAbsent(line.keyword(), line);
    if (reader == null) {
      addError(
          line,
          "unknown keyword '" + line.keyword() + "'",
          "one of " + String.join(" ", keywords.keySet()) + " include");
    } else if (firstLine != null) {
      addError(
          line,
          "'"
              + line.keyword()
              + "' stands already in "
              + firstLine.file()
              + ":"
              + firstLine.number(),
          "it once");
    } else {
      reader.accept(line);
    }
  }

  /**
   * Transforms a line before it is read; returns null to skip the line. This implementation returns
   * the line unchanged.
   */
  protected ConfigurationLine prepare(ConfigurationLine line) {
    return line;
  }

  /** Adds an error that concerns one line. */
  protected void addError(ConfigurationLine line, String problem, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), problem, expected));
  }

  /**
   * Adds an error that concerns the whole file if the condition holds, unless the file could not be
   * read at all.
   */
  protected void addFileErrorIf(boolean hasError, String problem, String expected) {
    if (hasError && !isUnreadable) {
      errors.add(new ConfigurationError(file.toString(), 0, problem, expected));
    }
  }

  /** Throws all collected errors, ordered by file and line, if there are any. */
  protected void throwIfErrors() throws ConfigurationException {
    if (!errors.isEmpty()) {
      List<String> files = errors.stream().map(ConfigurationError::file).distinct().toList();
      errors.sort(
          Comparator.comparingInt((ConfigurationError error) -> files.indexOf(error.file()))
              .thenComparingInt(ConfigurationError::line));
      throw new ConfigurationException(errors);
    }
  }

  /** Splits the arguments of a line with this syntax. */
  protected LineArguments arguments(ConfigurationLine line, int positionalCount, String form) {
    return new LineArguments(line, positionalCount, form, errors);
  }

  /** Adds an error to this line unless the condition holds once all lines are read. */
  protected void crossCheck(
      LineArguments arguments, BooleanSupplier isValid, String problem, String expected) {
    crossCheck(isValid, () -> arguments.addError(problem, expected));
  }

  /** Does the same for a line that is not read through {@link LineArguments}. */
  protected void crossCheck(
      ConfigurationLine line, BooleanSupplier isValid, String problem, String expected) {
    crossCheck(isValid, () -> addError(line, problem, expected));
  }

  private void crossCheck(BooleanSupplier isValid, Runnable addError) {
    crossChecks.add(
        () -> {
          if (!isValid.getAsBoolean()) {
            addError.run();
          }
        });
  }

  /** Reads a keyword and an integer; returns {@code min} when the integer is not valid. */
  protected int readInt(ConfigurationLine line, int min, int max) {
    LineArguments arguments = arguments(line, 1, line.keyword() + " NUMBER");
    int value = arguments.parseInteger(line.keyword(), arguments.positional(0), min, max, min);
    arguments.rejectUnknown();
    return value;
  }

  private static LogSettings readLog(LineArguments arguments) {
    String format = arguments.positional(0);
    if (!format.matches("text|json")) {
      arguments.addError("unknown log format '" + format + "'", "text or json");
    }
    String level = arguments.word("level", LogSettings.DEFAULT.level());
    if (!level.matches("error|warn|info|debug")) {
      arguments.addError("unknown log level '" + level + "'", "error, warn, info or debug");
    }
    return new LogSettings(format.equals("json"), level);
  }
}
