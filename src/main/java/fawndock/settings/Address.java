package fawndock.settings;

/**
 * A host and a TCP or UDP port. Immutable.
 *
 * @param host a host name or an IP address, without brackets
 * @param port 0 to 65535; 0 makes a listener choose a free port
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Parses HOST:PORT; returns null when the text is not valid. Port 0 is valid. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return null;
    }
    String host = text.substring(0, colon).replaceAll("^\\[|\\]$", "");
    String port = text.substring(colon + 1);
    if (host.isEmpty() || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAX_PORT) {
      return null;
    }
    return new Address(host, Integer.parseInt(port));
  }

  /**
   * Parses a text that is already known to be a valid HOST:PORT.
   *
   * @throws RuntimeException when it is not valid
   */
  public static Address of(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, colon);
    return new Address(
        host.startsWith("[") ? host.substring(1, host.length() - 1) : host,
        Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
  }
}
