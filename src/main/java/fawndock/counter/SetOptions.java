package fawndock.counter;

import fawndock.counter.storage.CommandException;

/**
 * The options of the SET command, which begin at argument index 3. Immutable.
 *
 * @param onlyIfAbsent NX: set only if the name does not exist
 * @param onlyIfPresent XX: set only if the name exists
 * @param keepsExpiry KEEPTTL: keep the current expiry time
 * @param returnsPrevious GET: reply with the previous amount
 * @param expiryMillis EX, PX, EXAT or PXAT: the expiry time in milliseconds since 1970; 0 for none
 */
record SetOptions(
    boolean onlyIfAbsent,
    boolean onlyIfPresent,
    boolean keepsExpiry,
    boolean returnsPrevious,
    long expiryMillis) {
  private static final int FIRST_OPTION_INDEX = 3;

  static SetOptions parse(CommandInvocation call) throws CommandException {
    boolean onlyIfAbsent = false;
    boolean onlyIfPresent = false;
    boolean keepsExpiry = false;
    boolean returnsPrevious = false;
    long expiryMillis = 0;
    for (int i = FIRST_OPTION_INDEX; i < call.arguments().length; i++) {
      switch (call.optionArgument(i)) {
        case "NX" -> onlyIfAbsent = true;
        case "XX" -> onlyIfPresent = true;
        case "GET" -> returnsPrevious = true;
        case "KEEPTTL" -> keepsExpiry = true;
        case "EX", "PX", "EXAT", "PXAT" -> {
          if (expiryMillis != 0 || i + 1 == call.arguments().length) {
            throw CommandInvocation.syntaxError();
          }
          expiryMillis = parseExpiry(call, i);
          i++;
        }
        default -> throw CommandInvocation.syntaxError();
      }
    }
    if ((onlyIfAbsent && onlyIfPresent) || (keepsExpiry && expiryMillis != 0)) {
      throw CommandInvocation.syntaxError();
    }
    return new SetOptions(onlyIfAbsent, onlyIfPresent, keepsExpiry, returnsPrevious, expiryMillis);
  }

  private static long parseExpiry(CommandInvocation call, int optionIndex) throws CommandException {
    String option = call.optionArgument(optionIndex);
    long unitMillis = option.startsWith("E") ? 1_000 : 1;
    long baseMillis = option.endsWith("AT") ? 0 : call.nowMillis();
    long expiryMillis =
        NameCommands.parseExpiry(call, optionIndex + 1, unitMillis, baseMillis, "set");
    if (expiryMillis <= 0 || call.integerArgument(optionIndex + 1) <= 0) {
      throw new CommandException("ERR invalid expire time in 'set' command");
    }
    return expiryMillis;
  }
}
