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
 * The discovery protocol: its paths, and the decoding of its JSON endpoint lists. The platform
 * defines all names.
 */
final class EndpointListCodec {
  /** Path of a call for a complete list. */
  static final String SNAPSHOT_PATH = "/catalog/members";

  /** Path and query of a watch; the version of the last list is appended. */
  static final String WATCH_PATH = SNAPSHOT_PATH + "?stream=1&index=";

  // Keys of a list.
  static final String KEY_VERSION = "index";
  static final String KEY_IS_SNAPSHOT = "snapshot";
  static final String KEY_ENDPOINTS = "endpoints";

  // Keys of an endpoint.
  static final String KEY_ID = "name";
  static final String KEY_ZONE = "zone";
  static final String KEY_CELL = "group";
  static final String KEY_STATE = "status";
  static final String KEY_WEIGHT = "weight";
  static final String KEY_STARTED_AT_MILLIS = "since_ms";
  static final String KEY_ADDRESS = "address";

  // Values of KEY_STATE.
  static final String STATE_RUNNING = "ready";
  static final String STATE_DRAINING = "draining";
  static final String STATE_REMOVED = "gone";

  private EndpointListCodec() {}

  /**
   * Decodes a list. One malformed endpoint makes the whole list malformed, so that no draining
   * endpoint is missed silently.
   *
   * @throws MalformedMessageException if the list is malformed; the message names the key, its
   *     value and the expected form
   */
  static EndpointList decode(JsonObject list) {
    List<Endpoint> endpoints = new ArrayList<>();
    Map<String, Address> addresses = new LinkedHashMap<>();
    for (JsonObject entry : list.objects(KEY_ENDPOINTS)) {
      Endpoint endpoint = decodeEndpoint(entry);
      endpoints.add(endpoint);
      if (entry.has(KEY_ADDRESS)) {
        addresses.put(endpoint.id(), decodeAddress(KEY_ADDRESS, entry.text(KEY_ADDRESS)));
      }
    }
    return new EndpointList(
        list.integer(KEY_VERSION), list.booleanOrFalse(KEY_IS_SNAPSHOT), endpoints, addresses);
  }

  private static Endpoint decodeEndpoint(JsonObject entry) {
    return new Endpoint(
        entry.text(KEY_ID),
        entry.textOr(KEY_ZONE, ""),
        (int) entry.integerOr(KEY_CELL, 0),
        decodeState(entry.textOr(KEY_STATE, STATE_RUNNING)),
        entry.numberOr(KEY_WEIGHT, 1),
        entry.integerOr(KEY_STARTED_AT_MILLIS, 0) * 1_000);
  }

  private static EndpointState decodeState(String status) {
    return switch (status) {
      case STATE_RUNNING -> EndpointState.RUNNING;
      case STATE_DRAINING -> EndpointState.DRAINING;
      case STATE_REMOVED -> EndpointState.REMOVED;
      default ->
          throw new MalformedMessageException(
              "'status' is '" + status + "', ready, draining or gone is expected");
    };
  }

  /**
   * Decodes an address of the form HOST:PORT.
   *
   * @param key the key to name in the error message
   * @throws MalformedMessageException if the text is not an address
   */
  static Address decodeAddress(String key, String text) {
    Address address = Address.parse(text);
    if (address != null && address.port() > 0) {
      return address;
    }
    throw new MalformedMessageException("'" + key + "' is '" + text + "', HOST:PORT is expected");
  }
}
