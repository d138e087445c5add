package fawndock.settings;

import java.math.BigDecimal;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses times and sizes that have a unit, such as {@code 1.5ms} and {@code 64KiB}. */
final class UnitParser {
  private static final Pattern NUMBER_UNIT =
      Pattern.compile("([0-9]{1,15}(?:\\.[0-9]{1,9})?)([a-zA-Z]*)");
  private static final Map<String, Long> MICROS_PER_UNIT =
      Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);
  private static final Map<String, Long> BYTES_PER_UNIT =
      Map.of(
          "",
          1L,
          "B",
          1L,
          "KiB",
          1L << 10,
          "MiB",
          1L << 20,
          "GiB",
          1L << 30,
          "kB",
          1_000L,
          "MB",
          1_000_000L);

  private UnitParser() {}

  /** Microseconds, or empty when the text is not a time with a unit. */
  static OptionalLong parseMicros(String text) {
    return parseScaled(text, MICROS_PER_UNIT);
  }

  /** Bytes, or empty when the text is not a size. */
  static OptionalLong parseBytes(String text) {
    return parseScaled(text, BYTES_PER_UNIT);
  }

  private static OptionalLong parseScaled(String text, Map<String, Long> units) {
    Matcher m = NUMBER_UNIT.matcher(text);
    if (!m.matches() || !units.containsKey(m.group(2))) {
      return OptionalLong.empty();
    }
    BigDecimal value =
        new BigDecimal(m.group(1)).multiply(BigDecimal.valueOf(units.get(m.group(2))));
    return value.compareTo(BigDecimal.valueOf(Long.MAX_VALUE / 4)) > 0
        ? OptionalLong.empty()
        : OptionalLong.of(value.longValue());
  }
}
