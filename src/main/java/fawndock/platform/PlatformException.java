package fawndock.platform;

/** Root of what can be wrong with the platform's input: configuration and client commands. */
abstract class PlatformException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Without a stack trace: the input is at fault, and input is read on the hot path. */
  PlatformException(String message) {
    super(message, null, false, false);
  }
}
