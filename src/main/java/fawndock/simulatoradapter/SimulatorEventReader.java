package fawndock.simulatoradapter;

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

/** Translates the wire's events into the interface's. */
final class SimulatorEventReader {
  private static final int REPEAT_BIT = 2;

  private SimulatorEventReader() {}

  static PolicyEvent event(String what, JsonObject e) {
    return switch (what) {
      case "Call" ->
          new RequestArrived(
              e.integer("op-id"),
              e.text("class"),
              e.text("tariff"),
              e.text("customer"),
              e.integer("give-up-at-us"),
              e.numberOr("price-units", 1),
              (int) e.integerOr("doors", 1),
              (int) e.integerOr("base", 0),
              (e.integerOr("attrs", 0) & REPEAT_BIT) != 0);
      case "AttemptEnd" ->
          new AttemptCompleted(
              e.integer("op-id"),
              (int) e.integerOr("try", 0),
              e.text("worker"),
              e.integerOr("duration-us", 0),
              result(e.text("verdict")),
              e.flag("terminal"),
              e.numberOr("charged", 0),
              SettingsReader.load(e.objectOr("stats")));
      case "Started" ->
          new ResponseStarted(e.integer("op-id"), (int) e.integerOr("try", 0), e.text("worker"));
      case "HealthResult" ->
          new HealthCheckCompleted(
              e.text("worker"),
              e.integerOr("duration-us", 0),
              result(e.text("verdict")),
              SettingsReader.load(e.objectOr("stats")));
      case "LedgerReply" ->
          new CounterReply(
              e.text("book"),
              result(e.text("verdict")),
              e.numberOr("level", 0),
              e.integerOr("duration-us", 0));
      case "Expired" -> new ClientDisconnected(e.integer("op-id"));
      case "Timer" -> new TimerFired(TimerCodec.decode(e.text("cookie")));
      case "Mail" -> new PeerMessageReceived((int) e.integer("from"), e.text("body"));
      case "Registry" ->
          new EndpointUpdate(
              listing(e.text("kind")),
              e.objectsOr("members-list").stream().map(SimulatorEventReader::server).toList());
      default -> throw new MalformedMessageException("unknown event '" + what + "'");
    };
  }

  private static Endpoint server(JsonObject s) {
    return new Endpoint(
        s.text("worker"),
        s.textOr("site", ""),
        (int) s.integerOr("pod", 0),
        SettingsReader.constant(EndpointState.class, s.textOr("availability", "Running")),
        s.numberOr("power-hint", 1),
        s.integerOr("start-time-us", 0));
  }

  private static EndpointUpdateKind listing(String kind) {
    return switch (kind) {
      case "delta" -> EndpointUpdateKind.CHANGES;
      case "full" -> EndpointUpdateKind.SNAPSHOT;
      case "cached" -> EndpointUpdateKind.CACHED;
      case "failed" -> EndpointUpdateKind.FAILED;
      default -> throw new MalformedMessageException("unknown list kind '" + kind + "'");
    };
  }

  private static CallResult result(String verdict) {
    return switch (verdict) {
      case "delivered" -> CallResult.OK;
      case "app_error" -> CallResult.ERROR;
      case "shed" -> CallResult.SHED;
      case "expired" -> CallResult.TIMEOUT;
      case "dial_failed" -> CallResult.CONNECT_FAILED;
      case "dropped" -> CallResult.RESET;
      case "revoked" -> CallResult.CANCELLED;
      case "unused" -> CallResult.NOT_SENT;
      default -> throw new MalformedMessageException("unknown verdict '" + verdict + "'");
    };
  }
}
