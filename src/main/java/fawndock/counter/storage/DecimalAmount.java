package fawndock.counter.storage;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;

/**
 * An exact number: a whole 64-bit one, or a fraction in units of 10^-9. Sums never drift: an amount
 * that is added and withdrawn leaves what was there. A number is a fraction only when it is not
 * whole, so that equal numbers are equal records.
 *
 * @param unscaledValue the number itself, or its multiple of 10^-9
 * @param isFraction whether the digits are in units of 10^-9
 */
public record DecimalAmount(long unscaledValue, boolean isFraction) {
  public static final DecimalAmount ZERO = new DecimalAmount(0, false);
  private static final long UNITS_PER_ONE = 1_000_000_000L;
  private static final int MAX_PLACES = 9;
  private static final int MAX_TEXT_BYTES = 64;

  /**
   * Reads a decimal number, also one with an exponent. What lies below 10^-9 is rounded half to
   * even, which is the same for an amount and for its withdrawal.
   *
   * @throws CommandException when it is none, or beyond a whole 64-bit number, or a fraction beyond
   *     9.2e9
   */
  public static DecimalAmount parse(byte[] text) throws CommandException {
    if (text.length > MAX_TEXT_BYTES || text.length == 0) {
      throw new CommandException(CommandException.NOT_FLOAT);
    }
    DecimalAmount plain = parsePlain(text);
    return plain != null ? plain : parseWithExponent(text);
  }

  /** Digits with at most nine places after a point, or null when it is anything else. */
  private static DecimalAmount parsePlain(byte[] text) {
    int i = text[0] == '-' || text[0] == '+' ? 1 : 0;
    long digits = 0;
    int places = -1;
    int many = 0;
    for (; i < text.length; i++) {
      byte b = text[i];
      if (b == '.' && places < 0) {
        places = 0;
      } else if (b >= '0' && b <= '9' && many < 18) {
        digits = digits * 10 + b - '0';
        many++;
        places += places >= 0 ? 1 : 0;
      } else {
        return null;
      }
    }
    if (many == 0 || places > MAX_PLACES) {
      return null;
    }
    long signed = text[0] == '-' ? -digits : digits;
    if (places <= 0) {
      return new DecimalAmount(signed, false);
    }
    for (int p = places; p < MAX_PLACES; p++) {
      if (Math.abs(signed) > Long.MAX_VALUE / 10) {
        return null;
      }
      signed *= 10;
    }
    return ofUnits(signed);
  }

  private static DecimalAmount parseWithExponent(byte[] text) throws CommandException {
    try {
      BigDecimal number = new BigDecimal(new String(text, StandardCharsets.ISO_8859_1));
      // Guards against numbers such as 1e999999999, which would be written out digit by digit.
      if (Math.abs((long) number.precision() - number.scale()) > MAX_TEXT_BYTES) {
        if (number.signum() != 0 && number.precision() - (long) number.scale() > 0) {
          throw new CommandException(CommandException.OVERFLOW);
        }
        return ZERO;
      }
      BigDecimal rounded = number.setScale(MAX_PLACES, RoundingMode.HALF_EVEN);
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

  /** Reads a whole 64-bit number, written as one would print it. */
  public static long parseLong(byte[] text) throws CommandException {
    if (text.length > 0 && text.length <= 20) {
      String word = new String(text, StandardCharsets.ISO_8859_1);
      try {
        long number = Long.parseLong(word);
        if (word.equals(Long.toString(number))) {
          return number;
        }
      } catch (NumberFormatException e) {
        // Told below.
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
   * The exact sum.
   *
   * @throws CommandException when it does not fit
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

  /** Its opposite; the least whole number has none and becomes the greatest. */
  public DecimalAmount negated() {
    return new DecimalAmount(
        unscaledValue == Long.MIN_VALUE ? Long.MAX_VALUE : -unscaledValue, isFraction);
  }

  private long units() {
    return isFraction ? unscaledValue : Math.multiplyExact(unscaledValue, UNITS_PER_ONE);
  }

  /** The shortest decimal form, without exponent. */
  @Override
  public String toString() {
    return isFraction
        ? BigDecimal.valueOf(unscaledValue, MAX_PLACES).stripTrailingZeros().toPlainString()
        : Long.toString(unscaledValue);
  }
}
