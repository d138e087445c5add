package fawndock.settings;

import fawndock.settings.GatewaySettings.EndpointDiscovery;
import fawndock.settings.GatewaySettings.StaticEndpoint;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the keywords of endpoint discovery: the endpoint watch and the static endpoints. Not
 * thread-safe.
 */
final class DiscoverySection {
  private Address address;
  private long watchIdleTimeoutMicros = 5_000_000;
  private boolean watchesOnDemand;
  private final Map<String, StaticEndpoint> staticEndpoints = new LinkedHashMap<>();

  void readWatch(LineArguments arguments) {
    address = arguments.isValid() ? arguments.parseAddress(arguments.positional(0)) : null;
    watchIdleTimeoutMicros =
        arguments.micros("silence", 100_000, GatewaySettingsFile.MAX_TIME_MICROS, 5_000_000);
    watchesOnDemand = arguments.flag("must-ask", false);
  }

  void readStaticEndpoint(LineArguments arguments) {
    StaticEndpoint endpoint =
        new StaticEndpoint(
            arguments.positional(0),
            arguments.address(1),
            arguments.word("zone", ""),
            arguments.integer("cell", 0, 1_000_000, 0),
            arguments.number("weight", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1));
    if (staticEndpoints.putIfAbsent(endpoint.id(), endpoint) != null) {
      arguments.addError("server " + endpoint.id() + " is given twice", "each server once");
    }
  }

  /** Returns whether neither an endpoint watch nor a static endpoint is configured. */
  boolean isEmpty() {
    return address == null && staticEndpoints.isEmpty();
  }

  EndpointDiscovery settings() {
    return new EndpointDiscovery(
        address, watchIdleTimeoutMicros, watchesOnDemand, List.copyOf(staticEndpoints.values()));
  }
}
