package fawndock.settings;

/**
 * Where something listens.
 *
 * @param host a name or an IP address
 * @param port 0 to 65535; 0 to listen on any free port
 */
public record Address(String host, int port) {
  /** The address in a text, or null when that is not HOST:PORT; a port of 0 is one. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|\\]$", "");
    String port = colon < 0 ? "" : text.substring(colon + 1);
    boolean is = !host.isEmpty() && port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= 65_535;
    return is ? new Address(host, Integer.parseInt(port)) : null;
  }

  /** The address in a text that is known to be HOST:PORT. */
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
