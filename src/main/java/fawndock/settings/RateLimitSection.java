package fawndock.settings;

import fawndock.settings.GatewaySettings.Descriptor;
import fawndock.settings.GatewaySettings.RateLimit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the keywords of the gRPC rate limit service: its address and its descriptors. Not
 * thread-safe.
 */
final class RateLimitSection {
  private final GatewaySettingsFile file;
  private Address listen;
  private final List<Descriptor> descriptors = new ArrayList<>();

  RateLimitSection(GatewaySettingsFile file) {
    this.file = file;
  }

  void readListen(LineArguments arguments) {
    listen = arguments.isValid() ? arguments.parseAddress(arguments.positional(0)) : null;
  }

  void readDescriptor(LineArguments arguments) {
    Descriptor descriptor =
        new Descriptor(
            arguments.positional(0),
            readEntries(arguments),
            arguments.word("customer", ""),
            arguments.word("plan", ""),
            arguments.word("class", ""),
            arguments.number("units", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1));
    if (arguments.isValid() && !hasCustomer(descriptor)) {
      arguments.addError(
          "customer '" + descriptor.customer() + "'",
          "a name, or the key of one of its entries in braces");
    }
    descriptors.add(descriptor);
    file.crossCheckPlan(arguments, descriptor.plan());
    file.crossCheckRequestClass(arguments, descriptor.requestClass());
    file.crossCheck(
        arguments,
        () -> listen != null,
        "descriptors without a rate limit service",
        "rate-limit HOST:PORT");
  }

  private static List<Map.Entry<String, String>> readEntries(LineArguments arguments) {
    List<Map.Entry<String, String>> entries = new ArrayList<>();
    for (String entry :
        arguments.isValid() ? arguments.positional(1).split(",", 0) : new String[0]) {
      int equalsSign = entry.indexOf('=');
      if (equalsSign <= 0 || equalsSign == entry.length() - 1) {
        arguments.addError(
            "'" + entry + "' is no entry of a descriptor", "KEY=VALUE, or KEY=* for any value");
      } else {
        entries.add(Map.entry(entry.substring(0, equalsSign), entry.substring(equalsSign + 1)));
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
