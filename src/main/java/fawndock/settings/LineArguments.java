package fawndock.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The arguments of one line: some by position, then pairs of a name and a value. Errors are added
 * to the file's; a value that cannot be read is replaced by a default, so that reading goes on. One
 * thread.
 */
public final class LineArguments {
  private static final Address NO_ADDRESS = new Address("", 0);

  private final ConfigurationLine line;
  private final List<ConfigurationError> errors;
  private final List<String> positional = new ArrayList<>();
  private final Map<String, String> named = new LinkedHashMap<>();
  private final int errorsBefore;

  /**
   * Splits a line whose first {@code positionalCount} arguments go by position; {@code form} shows
   * in errors how it is written.
   */
  LineArguments(
      ConfigurationLine line, int positionalCount, String form, List<ConfigurationError> errors) {
    this.line = line;
    this.errors = errors;
    this.errorsBefore = errors.size();
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

  /** Whether nothing was found wrong with this line so far. */
  public boolean isValid() {
    return errors.size() == errorsBefore;
  }

  /** Adds an error of this line. */
  public void addError(String problem, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), problem, expected));
  }

  /** The positional argument of an index from 0; empty when the line is too short. */
  public String positional(int index) {
    return index < positional.size() ? positional.get(index) : "";
  }

  /** Takes the named time, in microseconds within bounds. */
  public long micros(String name, long least, long most, long otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseMicros(name, text, least, most, otherwise);
  }

  /** Parses a time with a unit, in microseconds within bounds. */
  public long parseMicros(String name, String text, long least, long most, long otherwise) {
    OptionalLong micros = UnitParser.parseMicros(text);
    if (micros.isEmpty() || micros.getAsLong() < least || micros.getAsLong() > most) {
      addError(
          name + " '" + text + "' is not a time in range",
          "a number and us, ms, s, m or h, from " + least + "us to " + most + "us");
      return otherwise;
    }
    return micros.getAsLong();
  }

  /** Parses a size in bytes, up to a largest one; 0 when it cannot be read. */
  public long parseBytes(String name, String text, long most) {
    OptionalLong bytes = UnitParser.parseBytes(text);
    if (bytes.isEmpty() || bytes.getAsLong() > most) {
      addError(
          name + " '" + text + "' is not a size in range",
          "bytes, or a number and KiB or MiB, at most " + most);
      return 0;
    }
    return bytes.getAsLong();
  }

  /** Takes the named number within bounds. */
  public double number(String name, double least, double most, double otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseNumber(name, text, least, most, otherwise);
  }

  /** Parses a number within bounds. */
  public double parseNumber(String name, String text, double least, double most, double otherwise) {
    try {
      double value = Double.parseDouble(text);
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The error below says it, as for a number out of range.
    }
    addError(name + " '" + text + "' is not a number in range", "from " + least + " to " + most);
    return otherwise;
  }

  /** Takes the named whole number within bounds. */
  public int integer(String name, int least, int most, int otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseInteger(name, text, least, most, otherwise);
  }

  /** Parses a whole number within bounds. */
  public int parseInteger(String name, String text, int least, int most, int otherwise) {
    if (text.matches("[0-9]{1,9}")
        && Integer.parseInt(text) >= least
        && Integer.parseInt(text) <= most) {
      return Integer.parseInt(text);
    }
    addError(
        name + " '" + text + "' is not a whole number in range", "from " + least + " to " + most);
    return otherwise;
  }

  /** Takes the named flag, {@code yes} or {@code no}. */
  public boolean flag(String name, boolean otherwise) {
    String text = named.remove(name);
    if (text == null || text.equals("yes") || text.equals("no")) {
      return text == null ? otherwise : text.equals("yes");
    }
    addError(name + " '" + text + "'", "yes or no");
    return otherwise;
  }

  /** Takes the named word. */
  public String word(String name, String otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : text;
  }

  /** Takes the named constant, in lower case with hyphens. */
  public <T extends Enum<T>> T enumConstant(String name, Class<T> type, T otherwise) {
    String text = named.remove(name);
    if (text == null) {
      return otherwise;
    }
    List<String> words = new ArrayList<>();
    for (T each : type.getEnumConstants()) {
      String word = each.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (word.equals(text)) {
        return each;
      }
      words.add(word);
    }
    addError(name + " '" + text + "'", String.join(" or ", words));
    return otherwise;
  }

  /** The address at a position; one with an empty host when the line is wrong. */
  public Address address(int index) {
    return isValid() ? parseAddress(positional(index)) : NO_ADDRESS;
  }

  /** Parses an address; one with an empty host when it cannot be read. */
  public Address parseAddress(String text) {
    Address address = Address.parse(text);
    if (address == null) {
      addError("'" + text + "' is not an address", "HOST:PORT");
      return NO_ADDRESS;
    }
    return address;
  }

  /** Adds an error for each named argument that nobody has taken. */
  public void rejectUnknown() {
    for (String name : named.keySet()) {
      addError(
          "unknown argument '" + name + "' of " + line.keyword(),
          "an argument that the manual names");
    }
    named.clear();
  }
}
