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
  private final Set<String> often;
  private final List<ConfigurationError> mistakes = new ArrayList<>();
  private final Map<String, ConfigurationLine> seen = new HashMap<>();
  private final List<Runnable> crossChecks = new ArrayList<>();
  private Path file;
  private boolean unread;

  /**
   * @param often keywords that may stand on more than one line
   */
  protected ConfigurationFile(Set<String> often) {
    this.often = often;
  }

  /** Reads all lines and makes the cross checks. */
  protected void lines(Path from) {
    file = from;
    List<ConfigurationLine> lines = new LineReader(mistakes).read(from);
    unread = lines.isEmpty() && !mistakes.isEmpty();
    for (ConfigurationLine written : lines) {
      ConfigurationLine line = prepared(written);
      if (line == null) {
        continue;
      }
      Consumer<ConfigurationLine> reader = keywords.get(line.keyword());
      ConfigurationLine before =
          often.contains(line.keyword()) ? null : seen.putIfAbsent(line.keyword(), line);
      if (reader == null) {
        mistakes.add(
            new ConfigurationError(
                line.file(),
                line.number(),
                "unknown keyword '" + line.keyword() + "'",
                "one of " + String.join(" ", keywords.keySet()) + " include"));
      } else if (before != null) {
        mistakes.add(
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
  protected ConfigurationLine prepared(ConfigurationLine line) {
    return line;
  }

  /** Notes what is wrong with a line. */
  protected void wrong(ConfigurationLine line, String wrong, String expected) {
    mistakes.add(new ConfigurationError(line.file(), line.number(), wrong, expected));
  }

  /** Notes a keyword that must stand somewhere, unless the file could not be read at all. */
  protected void missing(boolean isMissing, String what, String expected) {
    if (isMissing && !unread) {
      mistakes.add(new ConfigurationError(file.toString(), 0, what, expected));
    }
  }

  /** Throws all mistakes, in the order of the files and their lines, when there are any. */
  protected void finish() throws ConfigurationException {
    if (!mistakes.isEmpty()) {
      List<String> files = mistakes.stream().map(ConfigurationError::file).distinct().toList();
      mistakes.sort(
          Comparator.comparingInt((ConfigurationError m) -> files.indexOf(m.file()))
              .thenComparingInt(ConfigurationError::line));
      throw new ConfigurationException(mistakes);
    }
  }

  protected LineArguments args(ConfigurationLine line, int places, String form) {
    return new LineArguments(line, places, form, mistakes);
  }

  /** Checks, when all lines are read, what this line says against the others. */
  protected void check(LineArguments a, BooleanSupplier holds, String wrong, String expected) {
    check(holds, () -> a.wrong(wrong, expected));
  }

  /** The same for a line whose arguments are not read by {@link LineArguments}. */
  protected void check(
      ConfigurationLine line, BooleanSupplier holds, String wrong, String expected) {
    check(holds, () -> wrong(line, wrong, expected));
  }

  private void check(BooleanSupplier holds, Runnable otherwise) {
    crossChecks.add(
        () -> {
          if (!holds.getAsBoolean()) {
            otherwise.run();
          }
        });
  }

  /** Reads a line that is a keyword and a whole number; the least when it is none. */
  protected int whole(ConfigurationLine line, int least, int most) {
    LineArguments a = args(line, 1, line.keyword() + " NUMBER");
    int number = a.wholeOf(line.keyword(), a.place(0), least, most, least);
    a.finish();
    return number;
  }

  /** Reads {@code log text|json [level …]}. */
  protected GatewaySettings.Log log(ConfigurationLine line) {
    LineArguments a = args(line, 1, "log text|json [level error|warn|info|debug]");
    if (!a.place(0).matches("text|json")) {
      a.wrong("log form '" + a.place(0) + "'", "text or json");
    }
    String level = a.word("level", "info");
    if (!level.matches("error|warn|info|debug")) {
      a.wrong("log level '" + level + "'", "error, warn, info or debug");
    }
    a.finish();
    return new GatewaySettings.Log(a.place(0).equals("json"), level);
  }
}
