package fawndock.platform;

import fawndock.platformconfig.Json.JsonObject;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.settings.Address;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One list of workers as the catalog gives it.
 *
 * @param version its version
 * @param isSnapshot whether it is all there is, rather than what changed
 * @param addresses where each worker listens, by id
 */
record EndpointList(
    long version, boolean isSnapshot, List<Endpoint> endpoints, Map<String, Address> addresses) {
  static final EndpointList NONE = new EndpointList(0, true, List.of(), Map.of());

  /**
   * Reads a list; an entry that cannot be read makes all of it unreadable, so that no drain is lost
   * unseen.
   */
  static EndpointList of(JsonObject list) {
    List<Endpoint> servers = new ArrayList<>();
    Map<String, Address> addresses = new LinkedHashMap<>();
    for (JsonObject e : list.objects("endpoints")) {
      String id = e.text("name");
      servers.add(
          new Endpoint(
              id,
              e.textOr("zone", ""),
              (int) e.integerOr("group", 0),
              availability(e.textOr("status", "ready")),
              e.numberOr("weight", 1),
              e.integerOr("since_ms", 0) * 1_000));
      if (e.has("address")) {
        addresses.put(id, PlatformConfig.address("address", e.text("address")));
      }
    }
    return new EndpointList(list.integer("index"), list.flag("snapshot"), servers, addresses);
  }

  private static EndpointState availability(String status) {
    return switch (status) {
      case "ready" -> EndpointState.RUNNING;
      case "draining" -> EndpointState.DRAINING;
      case "gone" -> EndpointState.REMOVED;
      default ->
          throw new MalformedMessageException(
              "'status' is '" + status + "', ready, draining or gone is expected");
    };
  }
}
