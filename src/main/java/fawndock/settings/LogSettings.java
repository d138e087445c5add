package fawndock.settings;

/**
 * How a process writes its log.
 *
 * @param isJson JSON lines rather than text
 * @param level the least severe level written: error, warn, info or debug
 */
public record LogSettings(boolean isJson, String level) {
  /** Text at the level info, which holds without a {@code log} line. */
  public static final LogSettings DEFAULT = new LogSettings(false, "info");
}
