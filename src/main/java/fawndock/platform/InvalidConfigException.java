package fawndock.platform;

/**
 * Thrown for an invalid configuration; the message names the file, the key and the expected form.
 */
final class InvalidConfigException extends PlatformException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }
}
