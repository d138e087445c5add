package fawndock.settings;

import fawndock.settings.GatewaySettings.CounterService;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The keywords of the counter service: its shards or the nodes of its cluster, and limits. */
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
    LineArguments a = file.arguments(line, addresses.size(), form);
    List<Address> read = new ArrayList<>();
    for (String each : addresses) {
      Address address = a.parseAddress(each);
      if (read.contains(address)) {
        a.addError("counter part " + address + " is given twice", "each part once");
      }
      read.add(address);
    }
    if (read.isEmpty()) {
      a.addError(line.keyword() + " names no address", form);
    }
    file.crossCheck(a, clusterNodes::isEmpty, "counter and counter-node both", "one of them");
    shards = List.copyOf(new LinkedHashSet<>(read));
  }

  void readClusterNode(LineArguments a) {
    Address address = a.address(1);
    if (clusterNodes.putIfAbsent(a.positional(0), address) != null) {
      a.addError("counter-node " + a.positional(0) + " is given twice", "each node once");
    }
  }

  void readLimits(LineArguments a) {
    timeoutMicros = a.micros("timeout", 1_000, 60_000_000, 50_000);
    settlesUnits = a.flag("settled", false);
    maxCallsInFlight = a.integer("calls", 1, 1_000_000, 4_096);
  }

  CounterService settings() {
    return new CounterService(
        shards, new TreeMap<>(clusterNodes), timeoutMicros, settlesUnits, maxCallsInFlight);
  }
}
