package fawndock.ratelimit;

import fawndock.settings.GatewaySettings.Descriptor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Matches descriptors of the rate limit service against those of the settings; the first that
 * matches holds. Immutable, does no I/O; any thread.
 */
public final class DescriptorMatcher {
  /** Longest descriptor value that becomes a customer's name. */
  static final int MAX_CUSTOMER_CHARACTERS = 256;

  private static final String ANY_VALUE = "*";

  /** The quota that a descriptor asks for. */
  public record QuotaRequest(String customer, String plan, String requestClass, double units) {}

  private final Map<String, List<Descriptor>> byDomain = new HashMap<>();

  /** Matches against these, in their order. */
  public DescriptorMatcher(List<Descriptor> descriptors) {
    for (Descriptor each : descriptors) {
      byDomain.computeIfAbsent(each.domain(), domain -> new ArrayList<>()).add(each);
    }
  }

  /**
   * The quota that a descriptor asks for; null for one that nothing matches, which is not limited.
   *
   * @param entries keys and values in their order
   * @param hitsAddend by which the configured units are multiplied; 0 stands for 1, as in the
   *     public description
   * @throws IllegalArgumentException when a value cannot be a customer's name
   */
  public QuotaRequest match(
      String domain, List<Map.Entry<String, String>> entries, long hitsAddend) {
    for (Descriptor each : byDomain.getOrDefault(domain, List.of())) {
      if (matches(each, entries)) {
        return new QuotaRequest(
            customer(each, entries),
            each.plan(),
            each.requestClass(),
            each.units() * Math.max(1, hitsAddend));
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
      boolean hasValue =
          expected.getValue().equals(ANY_VALUE) || expected.getValue().equals(actual.getValue());
      if (!expected.getKey().equals(actual.getKey()) || !hasValue) {
        return false;
      }
    }
    return true;
  }

  private static String customer(Descriptor configured, List<Map.Entry<String, String>> entries) {
    if (!configured.customer().startsWith("{")) {
      return configured.customer();
    }
    for (Map.Entry<String, String> each : entries) {
      if (configured.customer().equals("{" + each.getKey() + "}")) {
        return checkedCustomer(each);
      }
    }
    throw new IllegalStateException("the settings' reader accepted " + configured);
  }

  private static String checkedCustomer(Map.Entry<String, String> entry) {
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
