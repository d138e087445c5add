package fawndock.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The arguments of one line: some by place, then pairs of a name and a value. Notes every mistake
 * it meets.
 */
public final class LineArguments {
  private final ConfigurationLine line;
  private final List<ConfigurationError> errors;
  private final List<String> positional = new ArrayList<>();
  private final Map<String, String> named = new LinkedHashMap<>();
  private final int errorsBefore;

  /**
   * Takes a line whose first {@code places} arguments go by place; {@code form} shows how it is
   * written.
   */
  LineArguments(
      ConfigurationLine line, int places, String form, List<ConfigurationError> mistakes) {
    this.line = line;
    this.errors = mistakes;
    this.errorsBefore = mistakes.size();
    List<String> words = line.words();
    if (words.size() - 1 < places) {
      addError(line.keyword() + " has " + (words.size() - 1) + " arguments", form);
      return;
    }
    positional.addAll(words.subList(1, 1 + places));
    for (int i = 1 + places; i < words.size(); i += 2) {
      if (i + 1 == words.size()) {
        addError("'" + words.get(i) + "' has no value", form);
      } else if (named.put(words.get(i), words.get(i + 1)) != null) {
        addError("'" + words.get(i) + "' is given twice", "each name once");
      }
    }
  }

  /** Whether this line's arguments are all there and nothing was found wrong with them so far. */
  public boolean isValid() {
    return errors.size() == errorsBefore;
  }

  public void addError(String wrong, String expected) {
    errors.add(new ConfigurationError(line.file(), line.number(), wrong, expected));
  }

  public String word(int i) {
    return i < positional.size() ? positional.get(i) : "";
  }

  public long micros(String name, long least, long most, long otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseMicros(name, text, least, most, otherwise);
  }

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

  public double number(String name, double least, double most, double otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseNumber(name, text, least, most, otherwise);
  }

  public double parseNumber(String name, String text, double least, double most, double otherwise) {
    try {
      double value = Double.parseDouble(text);
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    addError(name + " '" + text + "' is not a number in range", "from " + least + " to " + most);
    return otherwise;
  }

  public int integer(String name, int least, int most, int otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : parseInteger(name, text, least, most, otherwise);
  }

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

  public boolean flag(String name, boolean otherwise) {
    String text = named.remove(name);
    if (text == null || text.equals("yes") || text.equals("no")) {
      return text == null ? otherwise : text.equals("yes");
    }
    addError(name + " '" + text + "'", "yes or no");
    return otherwise;
  }

  public String word(String name, String otherwise) {
    String text = named.remove(name);
    return text == null ? otherwise : text;
  }

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

  /** The address in a place; one of no host when the line is wrong. */
  public Address address(int place) {
    return isValid() ? parseAddress(word(place)) : new Address("", 0);
  }

  public Address parseAddress(String text) {
    Address address = Address.parse(text);
    if (address == null) {
      addError("'" + text + "' is not an address", "HOST:PORT");
      return new Address("", 0);
    }
    return address;
  }

  /** Notes the names that nobody asked for. */
  public void rejectUnknown() {
    named
        .keySet()
        .forEach(
            name ->
                addError(
                    "unknown argument '" + name + "' of " + line.keyword(),
                    "an argument that the manual names"));
    named.clear();
  }
}
