package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which header fields pass the gateway: all but those of one connection (RFC 9110, 7.6.1). */
final class ForwardedHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "host",
          "expect");

  private ForwardedHeaders() {}

  /**
   * A copy without the fields of one connection, those that {@code Connection} names, and some
   * others.
   *
   * @param without in lower case
   */
  static MultiMap filter(MultiMap headers, Set<String> without) {
    MultiMap forwarded = HttpHeaders.headers();
    copyEndToEnd(headers, forwarded, without);
    return forwarded;
  }

  /** Adds the same fields to others. */
  static void copyEndToEnd(MultiMap headers, MultiMap to, Set<String> without) {
    Set<String> named = Set.of();
    for (String value : headers.getAll("connection")) {
      for (String each : value.split(",")) {
        String name = each.trim().toLowerCase(Locale.ROOT);
        if (!HOP_BY_HOP.contains(name) && !name.equals("close")) {
          named = named.isEmpty() ? new HashSet<>() : named;
          named.add(name);
        }
      }
    }
    for (Map.Entry<String, String> field : headers) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (name.charAt(0) != ':'
          && !HOP_BY_HOP.contains(name)
          && !without.contains(name)
          && !named.contains(name)) {
        to.add(name, field.getValue());
      }
    }
  }
}
