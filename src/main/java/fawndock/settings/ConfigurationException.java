package fawndock.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when settings files contain errors. The message has one line for each {@link
 * ConfigurationError}.
 */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<ConfigurationError> errors;

  ConfigurationException(List<ConfigurationError> errors) {
    super(errors.stream().map(ConfigurationError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  /** Returns every error found, ordered by file and line. */
  public List<ConfigurationError> errors() {
    return errors;
  }
}
