package fawndock.benchlink;

/** What came in is not what the wire allows; the message says what is wrong. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
