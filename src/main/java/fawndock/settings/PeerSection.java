package fawndock.settings;

import fawndock.settings.GatewaySettings.Peers;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the keywords of peer messages: the address on which this process receives them and the
 * addresses of the instances. Not thread-safe.
 */
final class PeerSection {
  private final GatewaySettingsFile file;
  private Address listen;
  private final Map<Integer, Address> addresses = new TreeMap<>();
  private int maxMessagesPerSecond = 100;

  PeerSection(GatewaySettingsFile file) {
    this.file = file;
  }

  void readPeer(LineArguments arguments) {
    int instanceIndex = arguments.parseInteger("peer", arguments.positional(0), 0, 9_999, 0);
    if (arguments.isValid()
        && addresses.put(instanceIndex, arguments.parseAddress(arguments.positional(1))) != null) {
      arguments.addError("peer " + instanceIndex + " is given twice", "each peer once");
    }
    file.crossCheck(
        arguments,
        () -> instanceIndex < file.fleetSize(),
        "peer " + instanceIndex + " is not in a fleet of " + file.fleetSize(),
        "a number below the fleet's size");
  }

  void readListen(LineArguments arguments) {
    listen = arguments.isValid() ? arguments.parseAddress(arguments.positional(0)) : null;
    maxMessagesPerSecond = arguments.integer("intake", 1, 100_000, 100);
  }

  Peers settings() {
    return new Peers(listen, Map.copyOf(addresses), maxMessagesPerSecond);
  }
}
