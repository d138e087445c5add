package fawndock.settings;

/**
 * Format and level of a process's log. Immutable.
 *
 * @param isJson whether the log is written as JSON lines rather than text
 * @param level lowest level that is written: error, warn, info or debug
 */
public record LogSettings(boolean isJson, String level) {
  /** Text at level info, used when a settings file has no {@code log} line. */
  public static final LogSettings DEFAULT = new LogSettings(false, "info");
}
