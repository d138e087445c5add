package fawndock.counter.storage;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;

/**
 * An exact decimal number: a 64-bit integer, or a fraction in units of 10^-9. Sums have no rounding
 * error: adding an amount and withdrawing it restores the previous value. A number is stored as a
 * fraction only if it is not an integer, so that equal numbers are equal records.
 *
 * @param unscaledValue the integer, or the fraction in units of 10^-9
 * @param isFraction whether the unscaled value is in units of 10^-9
 */
public record DecimalAmount(long unscaledValue, boolean isFraction) {
  public static final DecimalAmount ZERO = new DecimalAmount(0, false);
  private static final long UNITS_PER_ONE = 1_000_000_000L;
  private static final int MAX_DECIMAL_PLACES = 9;
  private static final int MAX_TEXT_BYTES = 64;

  /**
   * Parses a decimal number, optionally with an exponent. Digits below 10^-9 are rounded half to
   * even, which rounds an amount and its withdrawal the same way.
   *
   * @throws CommandException when the text is not a number, or is outside the range of 64-bit
   *     integers, or is a fraction beyond 9.2e9
   */
  public static DecimalAmount parse(byte[] text) throws CommandException {
    if (text.length > MAX_TEXT_BYTES || text.length == 0) {
      throw new CommandException(CommandException.NOT_FLOAT);
    }
    DecimalAmount amount = parsePlain(text);
    return amount != null ? amount : parseWithExponent(text);
  }

  /** Parses digits with at most nine decimal places; returns null for any other text. */
  private static DecimalAmount parsePlain(byte[] text) {
    int i = text[0] == '-' || text[0] == '+' ? 1 : 0;
    long digits = 0;
    int decimalPlaces = -1;
    int digitCount = 0;
    for (; i < text.length; i++) {
      byte b = text[i];
      if (b == '.' && decimalPlaces < 0) {
        decimalPlaces = 0;
      } else if (b >= '0' && b <= '9' && digitCount < 18) {
        digits = digits * 10 + b - '0';
        digitCount++;
        decimalPlaces += decimalPlaces >= 0 ? 1 : 0;
      } else {
        return null;
      }
    }
    if (digitCount == 0 || decimalPlaces > MAX_DECIMAL_PLACES) {
      return null;
    }
    long signedValue = text[0] == '-' ? -digits : digits;
    if (decimalPlaces <= 0) {
      return new DecimalAmount(signedValue, false);
    }
    for (int place = decimalPlaces; place < MAX_DECIMAL_PLACES; place++) {
      if (Math.abs(signedValue) > Long.MAX_VALUE / 10) {
        return null;
      }
      signedValue *= 10;
    }
    return ofUnits(signedValue);
  }

  private static DecimalAmount parseWithExponent(byte[] text) throws CommandException {
    try {
      BigDecimal number = new BigDecimal(new String(text, StandardCharsets.ISO_8859_1));
      // Rejects numbers such as 1e999999999, which setScale would expand digit by digit.
      if (Math.abs((long) number.precision() - number.scale()) > MAX_TEXT_BYTES) {
        if (number.signum() != 0 && number.precision() - (long) number.scale() > 0) {
          throw new CommandException(CommandException.OVERFLOW);
        }
        return ZERO;
      }
      BigDecimal rounded = number.setScale(MAX_DECIMAL_PLACES, RoundingMode.HALF_EVEN);
      try {
        return new DecimalAmount(rounded.longValueExact(), false);
      } catch (ArithmeticException e) {
        return ofUnits(rounded.unscaledValue().longValueExact());
      }
    } catch (NumberFormatException e) {
      throw new CommandException(CommandException.NOT_FLOAT);
    } catch (ArithmeticException e) {
      throw new CommandException(CommandException.OVERFLOW);
    }
  }

  /** Parses a 64-bit integer in canonical form, such as {@link Long#toString} prints it. */
  public static long parseLong(byte[] text) throws CommandException {
    if (text.length > 0 && text.length <= 20) {
      String string = new String(text, StandardCharsets.ISO_8859_1);
      try {
        long number = Long.parseLong(string);
        if (string.equals(Long.toString(number))) {
          return number;
        }
      } catch (NumberFormatException e) {
        // Rejected below.
      }
    }
    throw new CommandException(CommandException.NOT_INTEGER);
  }

  private static DecimalAmount ofUnits(long units) {
    return units % UNITS_PER_ONE == 0
        ? new DecimalAmount(units / UNITS_PER_ONE, false)
        : new DecimalAmount(units, true);
  }

  /**
   * Returns the exact sum.
   *
   * @throws CommandException when the sum overflows
   */
  public DecimalAmount plus(DecimalAmount other) throws CommandException {
    try {
      if (!isFraction && !other.isFraction) {
        return new DecimalAmount(Math.addExact(unscaledValue, other.unscaledValue), false);
      }
      return ofUnits(Math.addExact(units(), other.units()));
    } catch (ArithmeticException e) {
      throw new CommandException(CommandException.OVERFLOW);
    }
  }

  /**
   * Returns the negated amount; the smallest 64-bit integer has no negation and becomes the
   * largest.
   */
  public DecimalAmount negated() {
    return new DecimalAmount(
        unscaledValue == Long.MIN_VALUE ? Long.MAX_VALUE : -unscaledValue, isFraction);
  }

  private long units() {
    return isFraction ? unscaledValue : Math.multiplyExact(unscaledValue, UNITS_PER_ONE);
  }

  /** Returns the shortest decimal form, without an exponent. */
  @Override
  public String toString() {
    return isFraction
        ? BigDecimal.valueOf(unscaledValue, MAX_DECIMAL_PLACES).stripTrailingZeros().toPlainString()
        : Long.toString(unscaledValue);
  }
}
