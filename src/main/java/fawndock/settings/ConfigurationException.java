package fawndock.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Settings that cannot be used. The root of all errors of settings files; its message has a line
 * for each {@link ConfigurationError}.
 */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<ConfigurationError> errors;

  ConfigurationException(List<ConfigurationError> errors) {
    super(errors.stream().map(ConfigurationError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  /** Every error found, in the order of files and lines. */
  public List<ConfigurationError> errors() {
    return errors;
  }
}
