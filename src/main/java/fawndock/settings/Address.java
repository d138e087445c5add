package fawndock.settings;

/**
 * Where something listens.
 *
 * @param host a name or an IP address
 * @param port 0 to 65535; 0 to listen on any free port
 */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
