package fawndock.loadgen;

import fawndock.settings.LineArguments;

/** Parses the arguments that load files and deployment files share. */
public final class LoadArguments {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_DAY = 86_400 * MICROS_PER_SECOND;
  private static final double FOREVER_SECONDS = Double.POSITIVE_INFINITY;

  private LoadArguments() {}

  /** Reads the shape of a rate over time. */
  public static RateShape shape(LineArguments arguments) {
    String shape = readChoice(arguments, "shape", "constant", "constant|wave|jump|on-off");
    double fromSeconds =
        arguments.micros("from", 0, MICROS_PER_DAY, 0) / (double) MICROS_PER_SECOND;
    long untilMicros = arguments.micros("until", 0, MICROS_PER_DAY, -1);
    double periodSeconds =
        arguments.micros("period", MICROS_PER_MILLI, MICROS_PER_DAY, 60 * MICROS_PER_SECOND)
            / (double) MICROS_PER_SECOND;
    double depth = arguments.number("depth", 0, 1, 0.5);
    double factor = arguments.number("times", 0, 1_000, 2);
    double onSeconds =
        arguments.micros("on", MICROS_PER_MILLI, MICROS_PER_DAY, MICROS_PER_SECOND)
            / (double) MICROS_PER_SECOND;
    double offSeconds =
        arguments.micros("off", MICROS_PER_MILLI, MICROS_PER_DAY, MICROS_PER_SECOND)
            / (double) MICROS_PER_SECOND;
    return switch (shape) {
      case "wave" -> new RateShape.SineWave(periodSeconds, depth);
      case "jump" ->
          new RateShape.TemporaryStep(
              fromSeconds,
              untilMicros < 0 ? FOREVER_SECONDS : untilMicros / (double) MICROS_PER_SECOND,
              factor);
      case "on-off" -> new RateShape.OnOff(onSeconds, offSeconds);
      default -> new RateShape.Constant();
    };
  }

  /** Reads the timeout and retry behavior of clients. */
  public static ClientBehavior clientBehavior(LineArguments arguments) {
    String retry = readChoice(arguments, "retry", "none", "none|at-once|after");
    return new ClientBehavior(
        arguments.micros("give-up", MICROS_PER_MILLI, MICROS_PER_DAY, 10 * MICROS_PER_SECOND),
        ClientBehavior.Retry.valueOf(retry.replace('-', '_').toUpperCase(java.util.Locale.ROOT)),
        arguments.micros("wait", MICROS_PER_MILLI, MICROS_PER_DAY, MICROS_PER_SECOND),
        arguments.integer("tries", 1, 100, 3),
        arguments.flag("retry-after", false));
  }

  /**
   * Reads a word that must be one of several, or records an error.
   *
   * @param choices the allowed words, separated by |
   */
  public static String readChoice(
      LineArguments arguments, String name, String defaultValue, String choices) {
    String word = arguments.word(name, defaultValue);
    if (!word.matches(choices)) {
      arguments.addError(name + " '" + word + "'", choices.replace("|", " or "));
      return defaultValue;
    }
    return word;
  }
}
