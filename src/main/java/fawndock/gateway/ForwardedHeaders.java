package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the header fields that are forwarded, in both directions: all but hop-by-hop ones (RFC
 * 9110, 7.6.1). Stateless.
 */
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
   * A copy without hop-by-hop fields, those that {@code Connection} names, and the excluded ones.
   *
   * @param excluded in lower case
   */
  static MultiMap filter(MultiMap headers, Set<String> excluded) {
    MultiMap forwarded = HttpHeaders.headers();
    copyEndToEnd(headers, forwarded, excluded);
    return forwarded;
  }

  /** Adds the fields that {@link #filter} selects to others. */
  static void copyEndToEnd(MultiMap headers, MultiMap target, Set<String> excluded) {
    Set<String> connectionNamed = namedByConnection(headers);
    for (Map.Entry<String, String> field : headers) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (name.charAt(0) != ':'
          && !HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && !connectionNamed.contains(name)) {
        target.add(name, field.getValue());
      }
    }
  }

  private static Set<String> namedByConnection(MultiMap headers) {
    Set<String> named = Set.of();
    for (String value : headers.getAll("connection")) {
      for (String each : value.split(",", 0)) {
        String name = each.trim().toLowerCase(Locale.ROOT);
        if (!HOP_BY_HOP.contains(name) && !name.equals("close")) {
          // Allocated for the rare request that names any.
          named = named.isEmpty() ? new HashSet<>() : named;
          named.add(name);
        }
      }
    }
    return named;
  }
}
