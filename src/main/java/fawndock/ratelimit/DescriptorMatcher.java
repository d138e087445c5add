package fawndock.ratelimit;

import fawndock.settings.GatewaySettings.Descriptor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What descriptors mean, by the first line of the settings that fits. Free of I/O; any thread. */
public final class DescriptorMatcher {
  /** Longest value of a descriptor that becomes a customer's name. */
  static final int MAX_CUSTOMER_CHARACTERS = 256;

  private static final String ANY = "*";

  /** Who asks for what. */
  public record QuotaRequest(String customer, String plan, String requestClass, double units) {}

  private final Map<String, List<Descriptor>> byDomain = new HashMap<>();

  public DescriptorMatcher(List<Descriptor> descriptors) {
    descriptors.forEach(
        d -> byDomain.computeIfAbsent(d.domain(), k -> new java.util.ArrayList<>()).add(d));
  }

  /**
   * What a descriptor means; null for one that no line fits, which is not limited.
   *
   * @param entries keys and values in their order
   * @param hits by which the line's units are multiplied; 0 stands for 1, as in the public
   *     description
   * @throws IllegalArgumentException when a value cannot be a customer's name
   */
  public QuotaRequest match(String domain, List<Map.Entry<String, String>> entries, long hits) {
    for (Descriptor each : byDomain.getOrDefault(domain, List.of())) {
      if (matches(each, entries)) {
        return new QuotaRequest(
            customer(each, entries),
            each.plan(),
            each.requestClass(),
            each.units() * Math.max(1, hits));
      }
    }
    return null;
  }

  private static boolean matches(Descriptor line, List<Map.Entry<String, String>> entries) {
    if (line.entries().size() != entries.size()) {
      return false;
    }
    for (int i = 0; i < entries.size(); i++) {
      Map.Entry<String, String> is = entries.get(i);
      Map.Entry<String, String> wanted = line.entries().get(i);
      if (!wanted.getKey().equals(is.getKey())
          || !wanted.getValue().equals(ANY) && !wanted.getValue().equals(is.getValue())) {
        return false;
      }
    }
    return true;
  }

  private static String customer(Descriptor line, List<Map.Entry<String, String>> entries) {
    if (!line.customer().startsWith("{")) {
      return line.customer();
    }
    for (Map.Entry<String, String> each : entries) {
      if (line.customer().equals("{" + each.getKey() + "}")) {
        if (each.getValue().isEmpty() || each.getValue().length() > MAX_CUSTOMER_CHARACTERS) {
          throw new IllegalArgumentException(
              "the value of '"
                  + each.getKey()
                  + "' names a customer and has "
                  + each.getValue().length()
                  + " characters, expected 1 to "
                  + MAX_CUSTOMER_CHARACTERS);
        }
        return each.getValue();
      }
    }
    throw new IllegalStateException("settings let pass " + line);
  }
}
