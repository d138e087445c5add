package fawndock.settings;

/**
 * Where something listens.
 *
 * @param host a name or an IP address
 * @param port 0 to 65535; 0 to listen on any free port
 */
public record Address(String host, int port) {
    /** The address in a text that is known to be HOST:PORT. */
    public static Address of(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon);
        return new Address(host.startsWith("[") ? host.substring(1, host.length() - 1) : host,
                Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
