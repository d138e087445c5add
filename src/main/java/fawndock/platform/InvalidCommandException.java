package fawndock.platform;

/** Thrown for an invalid client command; the message is the error reply to the client. */
final class InvalidCommandException extends PlatformException {
  private static final long serialVersionUID = 1L;

  InvalidCommandException(String problem) {
    super(PlatformProtocol.ERROR + problem);
  }
}
