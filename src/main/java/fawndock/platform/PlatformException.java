package fawndock.platform;

/**
 * Base class of exceptions for invalid input from the platform: configuration and client commands.
 */
abstract class PlatformException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a stack trace, because the input is at fault and is parsed on the
   * hot path.
   */
  PlatformException(String message) {
    super(message, null, false, false);
  }
}
