package fawndock.counter;

import fawndock.counter.storage.CommandException;

/**
 * The options of SET, from the fourth word on.
 *
 * @param isIfAbsent NX: only when the name is not there
 * @param isIfPresent XX: only when it is
 * @param keepsExpiry KEEPTTL
 * @param returnsPrevious GET
 * @param expiryMillis from EX, PX, EXAT or PXAT, in milliseconds since 1970; 0 for none
 */
record SetOptions(
    boolean isIfAbsent,
    boolean isIfPresent,
    boolean keepsExpiry,
    boolean returnsPrevious,
    long expiryMillis) {
  private static final int FIRST_OPTION = 3;

  static SetOptions parse(CommandInvocation c) throws CommandException {
    boolean isIfAbsent = false;
    boolean isIfPresent = false;
    boolean keepsExpiry = false;
    boolean returnsPrevious = false;
    long expiryMillis = 0;
    for (int i = FIRST_OPTION; i < c.words().length; i++) {
      switch (c.option(i)) {
        case "NX" -> isIfAbsent = true;
        case "XX" -> isIfPresent = true;
        case "GET" -> returnsPrevious = true;
        case "KEEPTTL" -> keepsExpiry = true;
        case "EX", "PX", "EXAT", "PXAT" -> {
          if (expiryMillis != 0 || i + 1 == c.words().length) {
            throw CommandInvocation.syntaxError();
          }
          expiryMillis = parseExpiry(c, i);
          i++;
        }
        default -> throw CommandInvocation.syntaxError();
      }
    }
    if ((isIfAbsent && isIfPresent) || (keepsExpiry && expiryMillis != 0)) {
      throw CommandInvocation.syntaxError();
    }
    return new SetOptions(isIfAbsent, isIfPresent, keepsExpiry, returnsPrevious, expiryMillis);
  }

  private static long parseExpiry(CommandInvocation c, int optionPlace) throws CommandException {
    String option = c.option(optionPlace);
    long unitMillis = option.startsWith("E") ? 1_000 : 1;
    long startMillis = option.endsWith("AT") ? 0 : c.nowMillis();
    long expiryMillis =
        NameCommands.parseExpiry(c, optionPlace + 1, unitMillis, startMillis, "set");
    if (expiryMillis <= 0 || c.integer(optionPlace + 1) <= 0) {
      throw new CommandException("ERR invalid expire time in 'set' command");
    }
    return expiryMillis;
  }
}
