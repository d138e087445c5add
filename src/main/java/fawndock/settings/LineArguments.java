package fawndock.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The arguments of one line: positional arguments followed by name-value pairs. Errors are added to
 * the file's list, and an invalid value is replaced by a default so that reading continues and
 * finds further errors. The methods that read a named argument also remove it; see {@link
 * #rejectUnknown}. Not thread-safe.
 */
public final class LineArguments {
  private static final Address NO_ADDRESS = new Address("", 0);

  private final ConfigurationLine line;
  private final List<ConfigurationError> errors;
  private final List<String> positional = new ArrayList<>();
  private final Map<String, String> named = new LinkedHashMap<>();
  private final int initialErrorCount;

  /**
   * Splits a line whose first {@code positionalCount} arguments are positional. Error messages
   * quote {@code form} as the expected syntax.
   */
  LineArguments(
      ConfigurationLine line, int positionalCount, String form, List<ConfigurationError> errors) {
    this.line = line;
    this.errors = errors;
    this.initialErrorCount = errors.size();
    List<String> words = line.words();
    if (words.size() - 1 < positionalCount) {
      addError(line.keyword() + " has " + (words.size() - 1) + " arguments", form);
      return;
    }
    positional.addAll(words.subList(1, 1 + positionalCount));
    for (int i = 1 + positionalCount; i < words.size(); i += 2) {
      if (i + 1 == words.size()) {
        addError("'" + words.get(i) + "' has no value", form);
      } else if (named.put(words.get(i), words.get(i + 1)) != null) {
        addError("'" + words.get(i) + "' is given twice", "each name once");
      }
    }
  }

  /** Returns whether no error has been found in this line so far. */
  public boolean isValid() {
    return errors.size() == initialErrorCount;
  }

  /** Adds an error that concerns this line. */
  public void addError(String problem, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), problem, expected));
  }

  /** Returns the positional argument at an index from 0; empty when the line is too short. */
  public String positional(int index) {
    return index < positional.size() ? positional.get(index) : "";
  }

  /** Reads a named duration within inclusive bounds; returns microseconds. */
  public long micros(String name, long min, long max, long defaultValue) {
    String text = named.remove(name);
    return text == null ? defaultValue : parseMicros(name, text, min, max, defaultValue);
  }

  /** Parses a duration with a unit, within inclusive bounds; returns microseconds. */
  public long parseMicros(String name, String text, long min, long max, long defaultValue) {
    OptionalLong micros = UnitParser.parseMicros(text);
    if (micros.isEmpty() || micros.getAsLong() < min || micros.getAsLong() > max) {
      addError(
          name + " '" + text + "' is not a time in range",
          "a number and us, ms, s, m or h, from " + min + "us to " + max + "us");
      return defaultValue;
    }
    return micros.getAsLong();
  }

  /** Parses a size of at most {@code max} bytes; returns 0 when it is not valid. */
  public long parseBytes(String name, String text, long max) {
    OptionalLong bytes = UnitParser.parseBytes(text);
    if (bytes.isEmpty() || bytes.getAsLong() > max) {
      addError(
          name + " '" + text + "' is not a size in range",
          "bytes, or a number and KiB or MiB, at most " + max);
      return 0;
    }
    return bytes.getAsLong();
  }

  /** Reads a named decimal number within inclusive bounds. */
  public double number(String name, double min, double max, double defaultValue) {
    String text = named.remove(name);
    return text == null ? defaultValue : parseNumber(name, text, min, max, defaultValue);
  }

  /** Parses a decimal number within inclusive bounds. */
  public double parseNumber(String name, String text, double min, double max, double defaultValue) {
    try {
      double value = Double.parseDouble(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported by the same error as a number out of range.
    }
    addError(name + " '" + text + "' is not a number in range", "from " + min + " to " + max);
    return defaultValue;
  }

  /** Reads a named integer within inclusive bounds. */
  public int integer(String name, int min, int max, int defaultValue) {
    String text = named.remove(name);
    return text == null ? defaultValue : parseInteger(name, text, min, max, defaultValue);
  }

  /** Parses a non-negative integer of at most nine digits within inclusive bounds. */
  public int parseInteger(String name, String text, int min, int max, int defaultValue) {
    if (text.matches("[0-9]{1,9}")
        && Integer.parseInt(text) >= min
        && Integer.parseInt(text) <= max) {
      return Integer.parseInt(text);
    }
    addError(name + " '" + text + "' is not a whole number in range", "from " + min + " to " + max);
    return defaultValue;
  }

  /** Reads a named flag, {@code yes} or {@code no}. */
  public boolean flag(String name, boolean defaultValue) {
    String text = named.remove(name);
    if (text == null || text.equals("yes") || text.equals("no")) {
      return text == null ? defaultValue : text.equals("yes");
    }
    addError(name + " '" + text + "'", "yes or no");
    return defaultValue;
  }

  /** Reads a named word without further checks. */
  public String word(String name, String defaultValue) {
    String text = named.remove(name);
    return text == null ? defaultValue : text;
  }

  /** Reads a named enum constant, written in lower case with hyphens. */
  public <T extends Enum<T>> T enumConstant(String name, Class<T> type, T defaultValue) {
    String text = named.remove(name);
    if (text == null) {
      return defaultValue;
    }
    List<String> words = new ArrayList<>();
    for (T constant : type.getEnumConstants()) {
      String word = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (word.equals(text)) {
        return constant;
      }
      words.add(word);
    }
    addError(name + " '" + text + "'", String.join(" or ", words));
    return defaultValue;
  }

  /** Returns the address at a position; its host is empty when the line is not valid. */
  public Address address(int index) {
    return isValid() ? parseAddress(positional(index)) : NO_ADDRESS;
  }

  /** Parses an address; its host is empty when the text is not valid. */
  public Address parseAddress(String text) {
    Address address = Address.parse(text);
    if (address == null) {
      addError("'" + text + "' is not an address", "HOST:PORT");
      return NO_ADDRESS;
    }
    return address;
  }

  /** Adds an error for each named argument that has not been read. */
  public void rejectUnknown() {
    for (String name : named.keySet()) {
      addError(
          "unknown argument '" + name + "' of " + line.keyword(),
          "an argument that the manual names");
    }
    named.clear();
  }
}
