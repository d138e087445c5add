package fawndock.settings;

import fawndock.settings.GatewaySettings.Peers;
import java.util.Map;
import java.util.TreeMap;

/** The keywords of peer messages: where this process listens, and the other instances. */
final class PeerSection {
  private final GatewaySettingsFile file;
  private Address listen;
  private final Map<Integer, Address> addresses = new TreeMap<>();
  private int maxMessagesPerSecond = 100;

  PeerSection(GatewaySettingsFile file) {
    this.file = file;
  }

  void readPeer(LineArguments a) {
    int number = a.parseInteger("peer", a.positional(0), 0, 9_999, 0);
    if (a.isValid() && addresses.put(number, a.parseAddress(a.positional(1))) != null) {
      a.addError("peer " + number + " is given twice", "each peer once");
    }
    file.crossCheck(
        a,
        () -> number < file.fleetSize(),
        "peer " + number + " is not in a fleet of " + file.fleetSize(),
        "a number below the fleet's size");
  }

  void readListen(LineArguments a) {
    listen = a.isValid() ? a.parseAddress(a.positional(0)) : null;
    maxMessagesPerSecond = a.integer("intake", 1, 100_000, 100);
  }

  Peers settings() {
    return new Peers(listen, Map.copyOf(addresses), maxMessagesPerSecond);
  }
}
