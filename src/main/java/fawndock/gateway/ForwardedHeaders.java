package fawndock.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the header fields of requests and responses that are forwarded: all except hop-by-hop
 * fields (RFC 9110, section 7.6.1). The class is stateless.
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
   * Returns a copy without hop-by-hop fields, fields named in {@code Connection}, and the excluded
   * fields.
   *
   * @param excluded field names in lower case
   */
  static MultiMap filter(MultiMap headers, Set<String> excluded) {
    MultiMap forwarded = HttpHeaders.headers();
    copyEndToEnd(headers, forwarded, excluded);
    return forwarded;
  }

  /** Adds the fields that {@link #filter} selects to {@code target}. */
  static void copyEndToEnd(MultiMap headers, MultiMap target, Set<String> excluded) {
    Set<String> connectionOptions = connectionOptions(headers);
    for (Map.Entry<String, String> field : headers) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (name.charAt(0) != ':'
          && !HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && !connectionOptions.contains(name)) {
        target.add(name, field.getValue());
      }
    }
  }

  private static Set<String> connectionOptions(MultiMap headers) {
    Set<String> options = Set.of();
    for (String value : headers.getAll("connection")) {
      for (String option : value.split(",", 0)) {
        String name = option.trim().toLowerCase(Locale.ROOT);
        if (!HOP_BY_HOP.contains(name) && !name.equals("close")) {
          // Few requests name any field, so the set is allocated only when it is needed.
          options = options.isEmpty() ? new HashSet<>() : options;
          options.add(name);
        }
      }
    }
    return options;
  }
}
