package fawndock.settings;

import fawndock.settings.GatewaySettings.Descriptor;
import fawndock.settings.GatewaySettings.RateLimit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The keywords of the gRPC rate limit service: where it listens, and its descriptors. */
final class RateLimitSection {
  private final GatewaySettingsFile file;
  private Address listen;
  private final List<Descriptor> descriptors = new ArrayList<>();

  RateLimitSection(GatewaySettingsFile file) {
    this.file = file;
  }

  void readListen(LineArguments a) {
    listen = a.isValid() ? a.parseAddress(a.positional(0)) : null;
  }

  void readDescriptor(LineArguments a) {
    Descriptor descriptor =
        new Descriptor(
            a.positional(0),
            readEntries(a),
            a.word("customer", ""),
            a.word("plan", ""),
            a.word("class", ""),
            a.number("units", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1));
    if (a.isValid() && !hasCustomer(descriptor)) {
      a.addError(
          "customer '" + descriptor.customer() + "'",
          "a name, or the key of one of its entries in braces");
    }
    descriptors.add(descriptor);
    file.crossCheckPlan(a, descriptor.plan());
    file.crossCheckRequestClass(a, descriptor.requestClass());
    file.crossCheck(
        a,
        () -> listen != null,
        "descriptors without a rate limit service",
        "rate-limit HOST:PORT");
  }

  private static List<Map.Entry<String, String>> readEntries(LineArguments a) {
    List<Map.Entry<String, String>> entries = new ArrayList<>();
    for (String each : a.isValid() ? a.positional(1).split(",", 0) : new String[0]) {
      int equalsSign = each.indexOf('=');
      if (equalsSign <= 0 || equalsSign == each.length() - 1) {
        a.addError(
            "'" + each + "' is no entry of a descriptor", "KEY=VALUE, or KEY=* for any value");
      } else {
        entries.add(Map.entry(each.substring(0, equalsSign), each.substring(equalsSign + 1)));
      }
    }
    return List.copyOf(entries);
  }

  private static boolean hasCustomer(Descriptor descriptor) {
    String customer = descriptor.customer();
    if (!customer.startsWith("{")) {
      return !customer.isEmpty();
    }
    return descriptor.entries().stream()
        .anyMatch(entry -> customer.equals("{" + entry.getKey() + "}"));
  }

  RateLimit settings() {
    return new RateLimit(listen, List.copyOf(descriptors));
  }
}
