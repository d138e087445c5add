package fawndock.gateway;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Which header fields pass the gateway: all but those of one connection (RFC 9110, 7.6.1). */
final class Headers {
    private static final Set<String> OF_ONE_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection",
            "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
            "http2-settings", "host", "expect");

    private Headers() {
    }

    /** A copy without the fields of one connection, those that {@code Connection} names, and some others. */
    static MultiMap forwarded(MultiMap headers, String... without) {
        Set<String> dropped = new HashSet<>(OF_ONE_CONNECTION);
        for (String name : without) {
            dropped.add(name.toLowerCase(Locale.ROOT));
        }
        for (String named : headers.getAll("connection")) {
            for (String each : named.split(",")) {
                dropped.add(each.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
        headers.forEach((name, value) -> {
            if (!name.startsWith(":") && !dropped.contains(name.toLowerCase(Locale.ROOT))) {
                forwarded.add(name, value);
            }
        });
        return forwarded;
    }
}
