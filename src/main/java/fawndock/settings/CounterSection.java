package fawndock.settings;

import fawndock.settings.GatewaySettings.CounterService;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the keywords of the counter service: its shards or cluster nodes, and the limits of calls
 * to it. Not thread-safe.
 */
final class CounterSection {
  private final GatewaySettingsFile file;
  private List<Address> shards = List.of();
  private final Map<String, Address> clusterNodes = new TreeMap<>();
  private long timeoutMicros = 50_000;
  private boolean settlesUnits;
  private int maxCallsInFlight = 4_096;

  CounterSection(GatewaySettingsFile file) {
    this.file = file;
  }

  void readShards(ConfigurationLine line) {
    List<String> addresses = line.words().subList(1, line.words().size());
    String form = line.keyword() + " HOST:PORT [HOST:PORT ...]";
    LineArguments arguments = file.arguments(line, addresses.size(), form);
    List<Address> parsedAddresses = new ArrayList<>();
    for (String text : addresses) {
      Address address = arguments.parseAddress(text);
      if (parsedAddresses.contains(address)) {
        arguments.addError("counter part " + address + " is given twice", "each part once");
      }
      parsedAddresses.add(address);
    }
    if (parsedAddresses.isEmpty()) {
      arguments.addError(line.keyword() + " names no address", form);
    }
    file.crossCheck(
        arguments, clusterNodes::isEmpty, "counter and counter-node both", "one of them");
    shards = List.copyOf(new LinkedHashSet<>(parsedAddresses));
  }

  void readClusterNode(LineArguments arguments) {
    Address address = arguments.address(1);
    if (clusterNodes.putIfAbsent(arguments.positional(0), address) != null) {
      arguments.addError(
          "counter-node " + arguments.positional(0) + " is given twice", "each node once");
    }
  }

  void readLimits(LineArguments arguments) {
    timeoutMicros = arguments.micros("timeout", 1_000, 60_000_000, 50_000);
    settlesUnits = arguments.flag("settled", false);
    maxCallsInFlight = arguments.integer("calls", 1, 1_000_000, 4_096);
  }

  CounterService settings() {
    return new CounterService(
        shards, new TreeMap<>(clusterNodes), timeoutMicros, settlesUnits, maxCallsInFlight);
  }
}
