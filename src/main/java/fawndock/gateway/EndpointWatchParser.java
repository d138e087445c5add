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
 * Decodes the lines of a discovery server's stream, as docs/operations.md gives their fields and
 * words, such as {@code {"list":"changes","servers":[{"id":"w1","host":"127.0.0.1",
 * "port":7001,"zone":"here","cell":0,"state":"running","weight":1,"started_us":0}]}}. Stateless.
 */
final class EndpointWatchParser {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ENDPOINTS = 100_000;
  private static final int MAX_ID_CHARACTERS = 256;
  private static final double MAX_WEIGHT = 1e9;

  /**
   * One line of the stream.
   *
   * @param addresses of the endpoints, by id
   * @param duplicateIds endpoints that the line has more than once
   */
  record Message(
      EndpointUpdateKind kind,
      List<Endpoint> endpoints,
      Map<String, Address> addresses,
      Set<String> duplicateIds) {}

  private EndpointWatchParser() {}

  /**
   * Decodes a line. An endpoint that it has twice counts as the entry that is nearer to removal:
   * nothing may go to one that is draining.
   *
   * @throws IllegalArgumentException saying what was read and what was expected
   */
  static Message parse(String text) {
    JsonNode line;
    try {
      line = JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    }
    EndpointUpdateKind kind = kind(line.path("list").asText());
    JsonNode entries = line.path("servers");
    if (!entries.isArray() || entries.size() > MAX_ENDPOINTS) {
      throw new IllegalArgumentException("servers is not a list of at most " + MAX_ENDPOINTS);
    }
    Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    Map<String, Address> addresses = new LinkedHashMap<>();
    Set<String> duplicateIds = new TreeSet<>();
    for (JsonNode entry : entries) {
      Endpoint endpoint = endpoint(entry);
      Endpoint before = endpoints.get(endpoint.id());
      if (before != null) {
        duplicateIds.add(endpoint.id());
      }
      if (before == null || endpoint.state().compareTo(before.state()) >= 0) {
        endpoints.put(endpoint.id(), endpoint);
        addresses.put(endpoint.id(), address(entry));
      }
    }
    return new Message(kind, List.copyOf(endpoints.values()), addresses, duplicateIds);
  }

  private static EndpointUpdateKind kind(String word) {
    return switch (word) {
      case "complete" -> EndpointUpdateKind.SNAPSHOT;
      case "changes" -> EndpointUpdateKind.CHANGES;
      default ->
          throw new IllegalArgumentException("list is '" + word + "', not complete or changes");
    };
  }

  private static EndpointState state(String word, String id) {
    return switch (word) {
      case "running" -> EndpointState.RUNNING;
      case "stopping" -> EndpointState.DRAINING;
      case "deleted" -> EndpointState.REMOVED;
      default ->
          throw new IllegalArgumentException(
              "state of " + id + " is '" + word + "', not running, stopping or deleted");
    };
  }

  private static Endpoint endpoint(JsonNode entry) {
    String id = entry.path("id").asText();
    if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS) {
      throw new IllegalArgumentException("a server without an id");
    }
    double weight = entry.path("weight").asDouble(1);
    return new Endpoint(
        id,
        entry.path("zone").asText(),
        entry.path("cell").asInt(),
        state(entry.path("state").asText(), id),
        weight > 0 && weight < MAX_WEIGHT ? weight : 1,
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
