package fawndock.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that cannot be used, with all that is wrong with them. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<ConfigurationError> errors;

  ConfigurationException(List<ConfigurationError> mistakes) {
    super(mistakes.stream().map(ConfigurationError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(mistakes);
  }

  /** Every mistake found, in the order of files and lines. */
  public List<ConfigurationError> errors() {
    return errors;
  }
}
