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
 * Parses the lines of a discovery server's stream, such as {@code
 * {"list":"changes","servers":[{"id":"w1","host":"127.0.0.1",
 * "port":7001,"zone":"here","cell":0,"state":"running","weight":1,"started_us":0}]}}.
 * docs/operations.md specifies the fields and their values. The class is stateless.
 */
final class EndpointWatchParser {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ENDPOINTS = 100_000;
  private static final int MAX_ID_CHARACTERS = 256;
  private static final double MAX_WEIGHT = 1e9;

  /**
   * One line of the stream.
   *
   * @param addresses the addresses of the endpoints, by id
   * @param duplicateIds ids of the endpoints that the line lists more than once
   */
  record Message(
      EndpointUpdateKind kind,
      List<Endpoint> endpoints,
      Map<String, Address> addresses,
      Set<String> duplicateIds) {}

  private EndpointWatchParser() {}

  /**
   * Parses a line. For an endpoint that is listed more than once, the entry whose state is nearest
   * to removal applies, since no request may be sent to a draining endpoint.
   *
   * @throws IllegalArgumentException if the line is invalid; the message gives the actual and the
   *     expected value
   */
  static Message parse(String json) {
    JsonNode root;
    try {
      root = JSON.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    }
    EndpointUpdateKind kind = kind(root.path("list").asText());
    JsonNode entries = root.path("servers");
    if (!entries.isArray() || entries.size() > MAX_ENDPOINTS) {
      throw new IllegalArgumentException("servers is not a list of at most " + MAX_ENDPOINTS);
    }
    Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    Map<String, Address> addresses = new LinkedHashMap<>();
    Set<String> duplicateIds = new TreeSet<>();
    for (JsonNode entry : entries) {
      Endpoint endpoint = endpoint(entry);
      Endpoint previous = endpoints.get(endpoint.id());
      if (previous != null) {
        duplicateIds.add(endpoint.id());
      }
      if (previous == null || endpoint.state().compareTo(previous.state()) >= 0) {
        endpoints.put(endpoint.id(), endpoint);
        addresses.put(endpoint.id(), address(entry));
      }
    }
    return new Message(kind, List.copyOf(endpoints.values()), addresses, duplicateIds);
  }

  private static EndpointUpdateKind kind(String value) {
    return switch (value) {
      case "complete" -> EndpointUpdateKind.SNAPSHOT;
      case "changes" -> EndpointUpdateKind.CHANGES;
      default ->
          throw new IllegalArgumentException(
              "list is '" + value + "', expected complete or changes");
    };
  }

  private static EndpointState state(String value, String id) {
    return switch (value) {
      case "running" -> EndpointState.RUNNING;
      case "stopping" -> EndpointState.DRAINING;
      case "deleted" -> EndpointState.REMOVED;
      default ->
          throw new IllegalArgumentException(
              "state of " + id + " is '" + value + "', expected running, stopping or deleted");
    };
  }

  private static Endpoint endpoint(JsonNode entry) {
    String id = entry.path("id").asText();
    if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS) {
      throw new IllegalArgumentException("the id of a server is missing or too long");
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
          "server " + entry.path("id").asText() + " has no valid host and port");
    }
    return new Address(host, port);
  }
}
