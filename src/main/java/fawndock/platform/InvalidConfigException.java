package fawndock.platform;

/** An unusable configuration; the message names the file, the key and what is expected. */
final class InvalidConfigException extends PlatformException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }
}
