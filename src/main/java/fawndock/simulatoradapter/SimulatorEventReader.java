package fawndock.simulatoradapter;

import static fawndock.simulatoradapter.SimulatorProtocol.ATTRIBUTE_RETRY;
import static fawndock.simulatoradapter.SimulatorProtocol.DEFAULT_ENDPOINT_STATE;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_ATTEMPT_COMPLETED;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_CLIENT_DISCONNECTED;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_COUNTER_REPLY;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_ENDPOINT_UPDATE;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_HEALTH_CHECK_COMPLETED;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_PEER_MESSAGE;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_REQUEST;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_RESPONSE_STARTED;
import static fawndock.simulatoradapter.SimulatorProtocol.EVENT_TIMER_FIRED;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ATTEMPT_INDEX;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ATTRIBUTES;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_CELL;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_COUNTER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_CUSTOMER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_DURATION_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ENDPOINT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ENDPOINTS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ENDPOINT_STATE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_FIRST_INSTANCE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_INSTANCE_COUNT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_IS_REQUEST_COMPLETED;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_LIST_KIND;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_LOAD_REPORT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_MESSAGE;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_PLAN;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_REQUEST_CLASS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_REQUEST_DEADLINE_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_REQUEST_ID;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_RESULT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_SENDER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_STARTED_AT_MICROS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TIMER;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_TOTAL;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_UNITS;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_UNITS_USED;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_WEIGHT;
import static fawndock.simulatoradapter.SimulatorProtocol.FIELD_ZONE;
import static fawndock.simulatoradapter.SimulatorProtocol.LIST_CACHED;
import static fawndock.simulatoradapter.SimulatorProtocol.LIST_CHANGES;
import static fawndock.simulatoradapter.SimulatorProtocol.LIST_FAILED;
import static fawndock.simulatoradapter.SimulatorProtocol.LIST_SNAPSHOT;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_CANCELLED;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_CONNECT_FAILED;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_ERROR;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_NOT_SENT;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_OK;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_RESET;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_SHED;
import static fawndock.simulatoradapter.SimulatorProtocol.RESULT_TIMEOUT;
import static fawndock.simulatoradapter.SimulatorProtocol.STATE_DRAINING;
import static fawndock.simulatoradapter.SimulatorProtocol.STATE_REMOVED;
import static fawndock.simulatoradapter.SimulatorProtocol.STATE_RUNNING;

import fawndock.platformconfig.Json.JsonObject;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.platformconfig.SettingsReader;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import java.util.Locale;

/** Decodes events of the simulator's line protocol into events of the policy. Stateless. */
final class SimulatorEventReader {
  private SimulatorEventReader() {}

  /**
   * Decodes an event.
   *
   * @param type the event's type on the wire
   * @throws MalformedMessageException when the type is unknown or a field does not conform to the
   *     protocol
   */
  static PolicyEvent decode(String type, JsonObject event) {
    return switch (type) {
      case EVENT_REQUEST ->
          new RequestArrived(
              event.integer(FIELD_REQUEST_ID),
              event.text(FIELD_REQUEST_CLASS),
              event.text(FIELD_PLAN),
              event.text(FIELD_CUSTOMER),
              event.integer(FIELD_REQUEST_DEADLINE_MICROS),
              event.numberOr(FIELD_UNITS, 1),
              (int) event.integerOr(FIELD_INSTANCE_COUNT, 1),
              (int) event.integerOr(FIELD_FIRST_INSTANCE, 0),
              (event.integerOr(FIELD_ATTRIBUTES, 0) & ATTRIBUTE_RETRY) != 0);
      case EVENT_ATTEMPT_COMPLETED ->
          new AttemptCompleted(
              event.integer(FIELD_REQUEST_ID),
              (int) event.integerOr(FIELD_ATTEMPT_INDEX, 0),
              event.text(FIELD_ENDPOINT),
              event.integerOr(FIELD_DURATION_MICROS, 0),
              result(event.text(FIELD_RESULT)),
              event.booleanOrFalse(FIELD_IS_REQUEST_COMPLETED),
              event.numberOr(FIELD_UNITS_USED, 0),
              SettingsReader.readLoadReport(event.objectOrEmpty(FIELD_LOAD_REPORT)));
      case EVENT_RESPONSE_STARTED ->
          new ResponseStarted(
              event.integer(FIELD_REQUEST_ID),
              (int) event.integerOr(FIELD_ATTEMPT_INDEX, 0),
              event.text(FIELD_ENDPOINT));
      case EVENT_HEALTH_CHECK_COMPLETED ->
          new HealthCheckCompleted(
              event.text(FIELD_ENDPOINT),
              event.integerOr(FIELD_DURATION_MICROS, 0),
              result(event.text(FIELD_RESULT)),
              SettingsReader.readLoadReport(event.objectOrEmpty(FIELD_LOAD_REPORT)));
      case EVENT_COUNTER_REPLY ->
          new CounterReply(
              event.text(FIELD_COUNTER),
              result(event.text(FIELD_RESULT)),
              event.numberOr(FIELD_TOTAL, 0),
              event.integerOr(FIELD_DURATION_MICROS, 0));
      case EVENT_CLIENT_DISCONNECTED -> new ClientDisconnected(event.integer(FIELD_REQUEST_ID));
      case EVENT_TIMER_FIRED -> new TimerFired(TimerCodec.decode(event.text(FIELD_TIMER)));
      case EVENT_PEER_MESSAGE ->
          new PeerMessageReceived((int) event.integer(FIELD_SENDER), event.text(FIELD_MESSAGE));
      case EVENT_ENDPOINT_UPDATE ->
          new EndpointUpdate(
              updateKind(event.text(FIELD_LIST_KIND)),
              event.objectsOrEmpty(FIELD_ENDPOINTS).stream()
                  .map(SimulatorEventReader::endpoint)
                  .toList());
      default -> throw new MalformedMessageException("unknown event '" + type + "'");
    };
  }

  private static Endpoint endpoint(JsonObject entry) {
    return new Endpoint(
        entry.text(FIELD_ENDPOINT),
        entry.textOr(FIELD_ZONE, ""),
        (int) entry.integerOr(FIELD_CELL, 0),
        endpointState(entry.textOr(FIELD_ENDPOINT_STATE, DEFAULT_ENDPOINT_STATE)),
        entry.numberOr(FIELD_WEIGHT, 1),
        entry.integerOr(FIELD_STARTED_AT_MICROS, 0));
  }

  private static EndpointState endpointState(String state) {
    return switch (state.toLowerCase(Locale.ROOT)) {
      case STATE_RUNNING -> EndpointState.RUNNING;
      case STATE_DRAINING -> EndpointState.DRAINING;
      case STATE_REMOVED -> EndpointState.REMOVED;
      default -> throw new MalformedMessageException("unknown word '" + state + "'");
    };
  }

  private static EndpointUpdateKind updateKind(String kind) {
    return switch (kind) {
      case LIST_CHANGES -> EndpointUpdateKind.CHANGES;
      case LIST_SNAPSHOT -> EndpointUpdateKind.SNAPSHOT;
      case LIST_CACHED -> EndpointUpdateKind.CACHED;
      case LIST_FAILED -> EndpointUpdateKind.FAILED;
      default -> throw new MalformedMessageException("unknown list kind '" + kind + "'");
    };
  }

  private static CallResult result(String result) {
    return switch (result) {
      case RESULT_OK -> CallResult.OK;
      case RESULT_ERROR -> CallResult.ERROR;
      case RESULT_SHED -> CallResult.SHED;
      case RESULT_TIMEOUT -> CallResult.TIMEOUT;
      case RESULT_CONNECT_FAILED -> CallResult.CONNECT_FAILED;
      case RESULT_RESET -> CallResult.RESET;
      case RESULT_CANCELLED -> CallResult.CANCELLED;
      case RESULT_NOT_SENT -> CallResult.NOT_SENT;
      default -> throw new MalformedMessageException("unknown verdict '" + result + "'");
    };
  }
}
