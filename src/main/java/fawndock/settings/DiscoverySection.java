package fawndock.settings;

import fawndock.settings.GatewaySettings.EndpointDiscovery;
import fawndock.settings.GatewaySettings.StaticEndpoint;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The keywords of endpoint discovery: the watch, and endpoints known from the start. */
final class DiscoverySection {
  private Address address;
  private long watchIdleTimeoutMicros = 5_000_000;
  private boolean watchesOnDemand;
  private final Map<String, StaticEndpoint> staticEndpoints = new LinkedHashMap<>();

  void readWatch(LineArguments a) {
    address = a.isValid() ? a.parseAddress(a.positional(0)) : null;
    watchIdleTimeoutMicros =
        a.micros("silence", 100_000, GatewaySettingsFile.MAX_TIME_MICROS, 5_000_000);
    watchesOnDemand = a.flag("must-ask", false);
  }

  void readStaticEndpoint(LineArguments a) {
    StaticEndpoint endpoint =
        new StaticEndpoint(
            a.positional(0),
            a.address(1),
            a.word("zone", ""),
            a.integer("cell", 0, 1_000_000, 0),
            a.number("weight", 1e-6, GatewaySettingsFile.MAX_AMOUNT, 1));
    if (staticEndpoints.putIfAbsent(endpoint.id(), endpoint) != null) {
      a.addError("server " + endpoint.id() + " is given twice", "each server once");
    }
  }

  /** Whether there is neither a watch nor a static endpoint. */
  boolean isEmpty() {
    return address == null && staticEndpoints.isEmpty();
  }

  EndpointDiscovery settings() {
    return new EndpointDiscovery(
        address, watchIdleTimeoutMicros, watchesOnDemand, List.copyOf(staticEndpoints.values()));
  }
}
