package fawndock.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.settings.Address;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One line of the roster's stream, such as {@code
 * {"list":"changes","servers":[{"id":"w1","host":"127.0.0.1",
 * "port":7001,"zone":"here","cell":0,"state":"running","weight":1,"started_us":0}]}}. A server
 * named twice counts as the one that is nearer to its end: nothing may go to one that was told to
 * drain.
 */
record EndpointWatchMessage(
    EndpointUpdateKind kind,
    List<Endpoint> endpoints,
    Map<String, Address> addresses,
    Set<String> duplicateIds) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ENDPOINTS = 100_000;

  /**
   * @throws IllegalArgumentException saying what is wrong with the line
   */
  static EndpointWatchMessage parse(String text) {
    JsonNode line;
    try {
      line = JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage());
    }
    EndpointUpdateKind listing =
        switch (line.path("list").asText()) {
          case "complete" -> EndpointUpdateKind.SNAPSHOT;
          case "changes" -> EndpointUpdateKind.CHANGES;
          default ->
              throw new IllegalArgumentException(
                  "list is '" + line.path("list").asText() + "', not complete or changes");
        };
    JsonNode entries = line.path("servers");
    if (!entries.isArray() || entries.size() > MAX_ENDPOINTS) {
      throw new IllegalArgumentException("servers is not a list of at most " + MAX_ENDPOINTS);
    }
    Map<String, Endpoint> servers = new LinkedHashMap<>();
    Map<String, Address> addresses = new LinkedHashMap<>();
    Set<String> twice = new TreeSet<>();
    for (JsonNode entry : entries) {
      Endpoint server = server(entry);
      Endpoint before = servers.get(server.id());
      if (before != null) {
        twice.add(server.id());
      }
      if (before == null || server.state().compareTo(before.state()) >= 0) {
        servers.put(server.id(), server);
        addresses.put(server.id(), address(entry));
      }
    }
    return new EndpointWatchMessage(listing, List.copyOf(servers.values()), addresses, twice);
  }

  private static Endpoint server(JsonNode entry) {
    String id = entry.path("id").asText();
    if (id.isEmpty() || id.length() > 256) {
      throw new IllegalArgumentException("a server without an id");
    }
    EndpointState state =
        switch (entry.path("state").asText()) {
          case "running" -> EndpointState.RUNNING;
          case "stopping" -> EndpointState.DRAINING;
          case "deleted" -> EndpointState.REMOVED;
          default ->
              throw new IllegalArgumentException(
                  "state of "
                      + id
                      + " is '"
                      + entry.path("state").asText()
                      + "', not running, stopping or deleted");
        };
    double weight = entry.path("weight").asDouble(1);
    return new Endpoint(
        id,
        entry.path("zone").asText(),
        entry.path("cell").asInt(),
        state,
        weight > 0 && weight < 1e9 ? weight : 1,
        entry.path("started_us").asLong());
  }

  private static Address address(JsonNode entry) {
    String host = entry.path("host").asText();
    int port = entry.path("port").asInt();
    if (host.isEmpty() || port < 1 || port > 65_535) {
      throw new IllegalArgumentException(
          "server " + entry.path("id").asText() + " has no host and port");
    }
    return new Address(host, port);
  }
}
