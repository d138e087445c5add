package fawndock.settings;

import java.math.BigDecimal;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations and sizes with units, such as {@code 1.5ms} and {@code 64KiB}. Stateless. */
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

  /** Returns microseconds, or empty when the text is not a duration with a unit. */
  static OptionalLong parseMicros(String text) {
    return parseScaled(text, MICROS_PER_UNIT);
  }

  /** Returns bytes, or empty when the text is not a size; a size without a unit is in bytes. */
  static OptionalLong parseBytes(String text) {
    return parseScaled(text, BYTES_PER_UNIT);
  }

  private static OptionalLong parseScaled(String text, Map<String, Long> units) {
    Matcher matcher = NUMBER_UNIT.matcher(text);
    if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
      return OptionalLong.empty();
    }
    BigDecimal value =
        new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(units.get(matcher.group(2))));
    return value.compareTo(BigDecimal.valueOf(Long.MAX_VALUE / 4)) > 0
        ? OptionalLong.empty()
        : OptionalLong.of(value.longValue());
  }
}
