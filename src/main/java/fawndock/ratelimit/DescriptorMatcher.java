package fawndock.ratelimit;

import fawndock.settings.GatewaySettings.Descriptor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Matches descriptors of rate limit calls against those of the settings; the first match applies.
 * Immutable and thread-safe; performs no I/O.
 */
public final class DescriptorMatcher {
  /** Maximum length of a descriptor value that is used as a customer's name. */
  static final int MAX_CUSTOMER_CHARACTERS = 256;

  private static final String ANY_VALUE = "*";

  /** The quota that a descriptor requests. */
  public record QuotaRequest(String customer, String plan, String requestClass, double units) {}

  private final Map<String, List<Descriptor>> descriptorsByDomain = new HashMap<>();

  /** Creates a matcher for these configured descriptors, in order of precedence. */
  public DescriptorMatcher(List<Descriptor> descriptors) {
    for (Descriptor configured : descriptors) {
      descriptorsByDomain
          .computeIfAbsent(configured.domain(), domain -> new ArrayList<>())
          .add(configured);
    }
  }

  /**
   * Returns the quota that a descriptor requests; null when no configured descriptor matches, in
   * which case it is not limited.
   *
   * @param entries the descriptor's keys and values in order
   * @param hitsAddend factor by which the configured units are multiplied; 0 means 1, as in the
   *     public service definition
   * @throws IllegalArgumentException when a value cannot be used as a customer's name
   */
  public QuotaRequest match(
      String domain, List<Map.Entry<String, String>> entries, long hitsAddend) {
    for (Descriptor configured : descriptorsByDomain.getOrDefault(domain, List.of())) {
      if (matches(configured, entries)) {
        return new QuotaRequest(
            customer(configured, entries),
            configured.plan(),
            configured.requestClass(),
            configured.units() * Math.max(1, hitsAddend));
      }
    }
    return null;
  }

  private static boolean matches(Descriptor configured, List<Map.Entry<String, String>> entries) {
    if (configured.entries().size() != entries.size()) {
      return false;
    }
    for (int i = 0; i < entries.size(); i++) {
      Map.Entry<String, String> actual = entries.get(i);
      Map.Entry<String, String> expected = configured.entries().get(i);
      boolean hasMatchingValue =
          expected.getValue().equals(ANY_VALUE) || expected.getValue().equals(actual.getValue());
      if (!expected.getKey().equals(actual.getKey()) || !hasMatchingValue) {
        return false;
      }
    }
    return true;
  }

  private static String customer(Descriptor configured, List<Map.Entry<String, String>> entries) {
    if (!configured.customer().startsWith("{")) {
      return configured.customer();
    }
    for (Map.Entry<String, String> entry : entries) {
      if (configured.customer().equals("{" + entry.getKey() + "}")) {
        return validatedCustomer(entry);
      }
    }
    throw new IllegalStateException(
        "descriptor has no entry for its customer placeholder: " + configured);
  }

  private static String validatedCustomer(Map.Entry<String, String> entry) {
    int characters = entry.getValue().length();
    if (characters == 0 || characters > MAX_CUSTOMER_CHARACTERS) {
      throw new IllegalArgumentException(
          "the value of '"
              + entry.getKey()
              + "' names a customer and has "
              + characters
              + " characters, expected 1 to "
              + MAX_CUSTOMER_CHARACTERS);
    }
    return entry.getValue();
  }
}
