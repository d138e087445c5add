package fawndock.loadgen;

import fawndock.settings.LineArguments;

/** What load files and deployment files say alike: shapes and manners. */
public final class LoadArguments {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long DAY = 86_400 * SECOND;
  private static final double FOREVER = Double.POSITIVE_INFINITY;

  private LoadArguments() {}

  /** Reads how a rate goes over time. */
  public static RateShape shape(LineArguments a) {
    String shape = word(a, "shape", "constant", "constant|wave|jump|on-off");
    double from = a.micros("from", 0, DAY, 0) / (double) SECOND;
    long until = a.micros("until", 0, DAY, -1);
    double period = a.micros("period", MILLI, DAY, 60 * SECOND) / (double) SECOND;
    double depth = a.number("depth", 0, 1, 0.5);
    double times = a.number("times", 0, 1_000, 2);
    double on = a.micros("on", MILLI, DAY, SECOND) / (double) SECOND;
    double off = a.micros("off", MILLI, DAY, SECOND) / (double) SECOND;
    return switch (shape) {
      case "wave" -> new RateShape.SineWave(period, depth);
      case "jump" ->
          new RateShape.TemporaryStep(from, until < 0 ? FOREVER : until / (double) SECOND, times);
      case "on-off" -> new RateShape.OnOff(on, off);
      default -> new RateShape.Constant();
    };
  }

  /** Reads what clients do. */
  public static ClientBehavior clientBehavior(LineArguments a) {
    String retry = word(a, "retry", "none", "none|at-once|after");
    return new ClientBehavior(
        a.micros("give-up", MILLI, DAY, 10 * SECOND),
        ClientBehavior.Retry.valueOf(retry.replace('-', '_').toUpperCase(java.util.Locale.ROOT)),
        a.micros("wait", MILLI, DAY, SECOND),
        a.integer("tries", 1, 100, 3),
        a.flag("retry-after", false));
  }

  /** Reads one of some words, given with | between them. */
  public static String word(LineArguments a, String name, String otherwise, String of) {
    String word = a.word(name, otherwise);
    if (!word.matches(of)) {
      a.addError(name + " '" + word + "'", of.replace("|", " or "));
      return otherwise;
    }
    return word;
  }
}
